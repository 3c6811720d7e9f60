//! Reads a base file and an overlay.

use std::path::Path;

use anyhow::Context;
use bergamottrack_contract::{Config, Node, check, merge};

use crate::{cli::FileArgs, failure::Failure};

/// The merged configuration, as written and as read.
pub struct Merged {
    /// With the file and line of each value.
    pub node: Node,
    /// As the hosts use it.
    pub config: Config,
}

/// Reads the files, lays the overlay over the base and checks the result.
pub fn read(args: &FileArgs) -> Result<Merged, Failure> {
    let base = parse(&args.base);
    let overlay = args.overlay.as_deref().map(parse).transpose();
    // The faults of both files are told at once.
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
