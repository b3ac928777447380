//! Writes `src/wire/gen.rs` from `proto/lynxcart.proto`; CI checks that the two agree.

use std::path::Path;

fn main() -> eyre::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let proto = root.join("proto");
    let set = protox::compile(["lynxcart.proto"], [&proto])?;
    let out = std::env::temp_dir().join(format!("lynxcart-codegen-{}", std::process::id()));
    std::fs::create_dir_all(&out)?;
    prost_build::Config::new().out_dir(&out).compile_fds(set)?;
    std::fs::copy(out.join("lynxcart.v1.rs"), root.join("src/wire/gen.rs"))?;
    std::fs::remove_dir_all(&out)?;
    Ok(())
}
