//! Tests of which responses have a body that can be passed on as it is read.

use http::{HeaderMap, HeaderName, HeaderValue};
use lynxcart::platform::headers::response_meta;

#[test]
fn response_whose_body_is_coded_otherwise_than_in_chunks_is_told_from_a_plain_one() {
    let cases: [(&[(&str, &str)], bool); 8] = [
        (&[], false),
        (&[("transfer-encoding", "chunked")], false),
        (&[("transfer-encoding", " Chunked ")], false),
        (&[("transfer-encoding", "gzip")], true),
        (&[("transfer-encoding", "gzip, chunked")], true),
        (&[("transfer-encoding", "chunked, gzip")], true),
        (
            &[
                ("transfer-encoding", "chunked"),
                ("transfer-encoding", "gzip"),
            ],
            true,
        ),
        (&[("content-encoding", "gzip")], true),
    ];
    for (rows, is_encoded) in cases {
        let rows = rows.iter().map(|(name, value)| {
            let name = HeaderName::try_from(*name).unwrap();
            (name, HeaderValue::try_from(*value).unwrap())
        });
        let mut headers = HeaderMap::new();
        for (name, value) in rows {
            headers.append(name, value);
        }
        let meta = response_meta("9c41", &headers);
        assert_eq!(meta.encoded, is_encoded, "{headers:?}");
    }
}
