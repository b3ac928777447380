//! Generates `src/wire/gen.rs` from `proto/lynxcart.proto`. CI checks that the file is up to date.

use std::path::Path;

fn main() -> eyre::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let proto = root.join("proto");
    let descriptors = protox::compile(["lynxcart.proto"], [&proto])?;
    let out_dir = std::env::temp_dir().join(format!("lynxcart-codegen-{}", std::process::id()));
    std::fs::create_dir_all(&out_dir)?;
    prost_build::Config::new()
        .out_dir(&out_dir)
        .compile_fds(descriptors)?;
    std::fs::copy(out_dir.join("lynxcart.v1.rs"), root.join("src/wire/gen.rs"))?;
    std::fs::remove_dir_all(&out_dir)?;
    Ok(())
}
