//! Answers to service calls: what is kept of them, and how entries are told.

use crate::agent::journal::{KeyAnswer, KEEP_BYTES};
use crate::agent::{AgentContext, ServiceOutcome};
use crate::verdict::RunVerdict;
use crate::wire::gen::envelope::Body;
use crate::wire::gen::{OperationCall, OperationReply, RefusalCode, WireVerdict};
use crate::wire::RequestKey;

/// An entry that waits for the answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct OperationWaiter {
    /// Mail address of the entry.
    pub(super) reply_to: String,
    /// The request.
    pub(super) request: RequestKey,
    /// The attempt.
    pub(super) attempt: u32,
}

/// The answer in an outcome, if there is one.
pub(super) fn key_answer(outcome: ServiceOutcome) -> Option<KeyAnswer> {
    match outcome {
        ServiceOutcome::Answered {
            status,
            content_type,
            body,
        } => Some(KeyAnswer {
            status: u32::from(status),
            content_type,
            body: Some(body),
        }),
        ServiceOutcome::NotSent | ServiceOutcome::Unknown => None,
    }
}

/// The answer as it is kept for a resend.
pub(super) fn kept(answer: &KeyAnswer) -> KeyAnswer {
    let mut answer = answer.clone();
    answer.body = answer.body.filter(|body| body.len() <= KEEP_BYTES);
    answer
}

/// Hash of a request, by which one key with two requests is found.
pub(super) fn call_digest(call: &OperationCall) -> Vec<u8> {
    let mut hasher = blake3::Hasher::new();
    for part in [&call.method, &call.path, &call.content_type] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    hasher.update(&call.body);
    hasher.finalize().as_bytes()[..16].to_vec()
}

/// Tells an entry that a call has no answer.
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
    cx.mail(&waiter.reply_to, Body::OperationReply(reply));
}

/// Gives an entry the answer to a call.
pub(super) fn reply_answer(
    cx: &mut AgentContext,
    waiter: &OperationWaiter,
    answer: &KeyAnswer,
    replayed: bool,
) {
    let code = match answer.body {
        Some(_) => RefusalCode::Unspecified,
        None => RefusalCode::AnswerNotKept,
    };
    let reply = OperationReply {
        request: Some(waiter.request.into()),
        attempt: waiter.attempt,
        verdict: WireVerdict::Ran.into(),
        code: code.into(),
        status: answer.status,
        content_type: answer.content_type.clone(),
        body: answer.body.clone().unwrap_or_default(),
        retry_after_ms: 0,
        replayed,
    };
    cx.mail(&waiter.reply_to, Body::OperationReply(reply));
}
