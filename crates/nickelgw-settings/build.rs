//! Compiles the messages of the settings without an external protobuf compiler.

use std::{env, error::Error, fs, path::PathBuf};

fn main() -> Result<(), Box<dyn Error>> {
    println!("cargo:rerun-if-changed=proto");
    let files = protox::compile(["node.proto", "day.proto"], ["proto"])?;
    let out = PathBuf::from(env::var("OUT_DIR")?);
    fs::write(out.join("settings.bin"), prost::Message::encode_to_vec(&files))?;
    prost_build::Config::new().out_dir(out).compile_fds(files)?;
    Ok(())
}
