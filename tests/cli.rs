//! An invalid flag, setting or name is reported in one line that names it, with exit code 2. The
//! README lists all settings.

use std::process::Command;

struct UsageCase {
    args: &'static [&'static str],
    env: &'static [(&'static str, &'static str)],
    error_parts: &'static [&'static str],
}

const CASES: &[UsageCase] = &[
    UsageCase {
        args: &["entry", "--no-such-flag"],
        env: &[],
        error_parts: &["--no-such-flag"],
    },
    UsageCase {
        args: &["entry", "--http-address", "nowhere"],
        env: &[],
        error_parts: &["LYNXCART_HTTP_ADDRESS", "\"nowhere\"", "IP:PORT"],
    },
    UsageCase {
        args: &["entry"],
        env: &[("LYNXCART_PLATFORM", "10.0.0.1")],
        error_parts: &["LYNXCART_PLATFORM", "\"10.0.0.1\"", "IP:PORT"],
    },
    UsageCase {
        args: &["entry"],
        env: &[],
        error_parts: &["LYNXCART_KEYS", "not set"],
    },
    UsageCase {
        args: &["entry", "--drain-limit-ms", "soon"],
        env: &[("LYNXCART_KEYS", "s")],
        error_parts: &["LYNXCART_DRAIN_LIMIT_MS", "\"soon\"", "0 to 3600000 ms"],
    },
    UsageCase {
        args: &["entry", "--operators", "ana"],
        env: &[("LYNXCART_KEYS", "s")],
        error_parts: &["LYNXCART_OPERATORS", "\"ana\"", "NAME:HASH"],
    },
    UsageCase {
        args: &["agent", "--name", "a", "--upstream", "gpu=127.0.0.1:1"],
        env: &[],
        error_parts: &["LYNXCART_UPSTREAM", "gpu=127.0.0.1:1", "engine=IP:PORT"],
    },
    UsageCase {
        args: &["agent", "--name", "A!", "--upstream", "engine=127.0.0.1:1"],
        env: &[],
        error_parts: &["LYNXCART_NAME", "\"A!\""],
    },
    UsageCase {
        args: &["profile", "edit", "no-such-file"],
        env: &[],
        error_parts: &["no-such-file"],
    },
    UsageCase {
        args: &["check", "--agent"],
        env: &[],
        error_parts: &["LYNXCART_UPSTREAM", "not set"],
    },
];

#[test]
fn usage_error_is_reported_in_one_line() {
    for case in CASES {
        let output = Command::new(env!("CARGO_BIN_EXE_lynxcart"))
            .args(case.args)
            .env_clear()
            .envs(case.env.iter().copied())
            .output()
            .expect("could not run the lynxcart binary");
        let error = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{:?}: {error}", case.args);
        assert_eq!(error.trim().lines().count(), 1, "{:?}: {error}", case.args);
        for part in case.error_parts {
            assert!(error.contains(part), "{:?}: {error}", case.args);
        }
    }
}

#[test]
fn readme_lists_every_setting_with_default_and_range() {
    let readme = include_str!("../README.md");
    for row in lynxcart::config::SETTINGS {
        let default = match row.default {
            "" => "must be given",
            "-" => "none",
            value => value,
        };
        let line = format!("| `{}` | {default} | {} |", row.variable, row.range);
        assert!(
            readme.contains(&line),
            "README.md does not contain the line: {line}"
        );
    }
}
