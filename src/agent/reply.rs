//! Replies to the entries that wait for operations, and conversions of responses for the journal.

use crate::agent::journal::{ServiceResponse, MAX_STORED_BODY_BYTES};
use crate::agent::{AgentContext, ServiceOutcome};
use crate::verdict::RunVerdict;
use crate::wire::gen::envelope::Body;
use crate::wire::gen::{OperationCall, OperationReply, RefusalCode, WireVerdict};
use crate::wire::RequestKey;

/// An entry that waits for the outcome of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct OperationWaiter {
    /// Address at which the entry receives messages.
    pub(super) reply_to: String,
    /// The caller's request.
    pub(super) request: RequestKey,
    /// Number of the entry's attempt at the request.
    pub(super) attempt: u32,
}

/// Extracts the response from an outcome. `None` if the service sent no complete response.
pub(super) fn response_from_outcome(outcome: ServiceOutcome) -> Option<ServiceResponse> {
    match outcome {
        ServiceOutcome::Answered {
            status,
            content_type,
            body,
        } => Some(ServiceResponse {
            status: u32::from(status),
            content_type,
            body: Some(body),
        }),
        ServiceOutcome::NotSent | ServiceOutcome::Unknown => None,
    }
}

/// Removes the body of a response if it is too large to be stored for resends.
pub(super) fn without_large_body(response: &ServiceResponse) -> ServiceResponse {
    let mut response = response.clone();
    response.body = response
        .body
        .filter(|body| body.len() <= MAX_STORED_BODY_BYTES);
    response
}

/// Hash of an operation, by which the use of one key for two different operations is detected.
pub(super) fn operation_digest(operation: &OperationCall) -> Vec<u8> {
    let mut hasher = blake3::Hasher::new();
    for part in [&operation.method, &operation.path, &operation.content_type] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(&operation.body);
    hasher.finalize().as_bytes()[..16].to_vec()
}

/// Sends an entry a refusal of its operation.
pub(super) fn reply_refused(
    cx: &mut AgentContext,
    waiter: &OperationWaiter,
    verdict: RunVerdict,
    code: RefusalCode,
    retry_after_ms: u64,
) {
    let reply = OperationReply {
        request: Some(waiter.request.into()),
        attempt: waiter.attempt,
        verdict: WireVerdict::from(verdict).into(),
        code: code.into(),
        retry_after_ms,
        ..OperationReply::default()
    };
    cx.send_message(&waiter.reply_to, Body::OperationReply(reply));
}

/// Sends an entry the response of the service. `replayed` tells whether it comes from the journal.
pub(super) fn reply_response(
    cx: &mut AgentContext,
    waiter: &OperationWaiter,
    response: &ServiceResponse,
    replayed: bool,
) {
    let code = match response.body {
        Some(_) => RefusalCode::Unspecified,
        None => RefusalCode::AnswerNotKept,
    };
    let reply = OperationReply {
        request: Some(waiter.request.into()),
        attempt: waiter.attempt,
        verdict: WireVerdict::Ran.into(),
        code: code.into(),
        status: response.status,
        content_type: response.content_type.clone(),
        body: response.body.clone().unwrap_or_default(),
        retry_after_ms: 0,
        replayed,
    };
    cx.send_message(&waiter.reply_to, Body::OperationReply(reply));
}
