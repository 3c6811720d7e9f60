//! Reads a base configuration file and its optional overlay.

use std::path::Path;

use anyhow::Context;
use bergamottrack_contract::{Config, Node, check, merge};

use crate::{cli::FileArgs, failure::Failure};

/// A merged configuration, both as source text and as checked values.
pub struct Merged {
    /// The merged tree with the source file and line of each value.
    pub node: Node,
    /// The checked configuration, in the form that the hosts use.
    pub config: Config,
}

/// Reads the files, merges the overlay into the base and checks the result.
pub fn read(args: &FileArgs) -> Result<Merged, Failure> {
    let base = parse(&args.base);
    let overlay = args.overlay.as_deref().map(parse).transpose();
    // Faults of both files are reported together.
    let node = match (base, overlay) {
        (Ok(base), Ok(Some(overlay))) => merge::merge(&base, &overlay)?,
        (Ok(base), Ok(None)) => base,
        (Err(base), Err(overlay)) => return Err(anyhow::anyhow!("{base:#}\n{overlay:#}").into()),
        (Err(error), _) | (_, Err(error)) => return Err(error.into()),
    };
    let config = check::read(&node)?;
    Ok(Merged { node, config })
}

fn parse(path: &Path) -> anyhow::Result<Node> {
    let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    Ok(Node::parse(&path.display().to_string(), &text)?)
}
