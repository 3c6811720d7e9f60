//! Makes a key and its verifier.

use bergamottrack_contract::Verifier;

use crate::cli::KeyArgs;

/// Prints the key and its verifier.
pub fn run(args: &KeyArgs) -> anyhow::Result<()> {
    let made = || format!("{:032x}", rand::random::<u128>());
    let key = args.key.clone().unwrap_or_else(made);
    let salt: [u8; 16] = rand::random();
    println!("key = {key}");
    println!("verifier = {}", Verifier::new(&key, &salt));
    Ok(())
}
