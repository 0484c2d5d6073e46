/**
 * Header names, in lower case as in Node.js. Callers use established names;
 * names that begin with `sequoiaspool-` are specific to this system.
 */

/** Identifies the logical request; resends of a request carry the same key. */
export const IDEMPOTENCY_KEY = 'idempotency-key';
/** Identifies the caller for fairness; defaults to the connection's address. */
export const CALLER_ID = 'x-client-id';
/** Time limit of the request in milliseconds, as in the Connect protocol. */
export const TIME_LIMIT = 'connect-timeout-ms';
/** Identifies a request in logs and explanations. */
export const REQUEST_ID = 'x-request-id';

/** Verdict of an answer or refusal, see verdict.ts. */
export const VERDICT = 'sequoiaspool-verdict';
/** Stable code of a refusal, see reasons.ts. */
export const REASON = 'sequoiaspool-reason';
/** Id of the request, between nodes. */
export const PEER_REQUEST_ID = 'sequoiaspool-request-id';
/** Milliseconds until the deadline, between nodes. */
export const PEER_REMAINING = 'sequoiaspool-remaining-ms';
/** Caller of the request, between nodes. */
export const PEER_CALLER = 'sequoiaspool-caller';
/** Rank (priority) of the request, between nodes. */
export const PEER_RANK = 'sequoiaspool-rank';
/** Milliseconds until an answer counts as late, between nodes. */
export const PEER_TARGET = 'sequoiaspool-target-ms';
/** Milliseconds after which a refusing gate expects to have capacity. */
export const PEER_RETRY_AFTER = 'sequoiaspool-retry-after-ms';
/** Signature of an upstream's answer, between nodes. */
export const PEER_SIGNATURE = 'sequoiaspool-signature';
/** Has the value 1 when a running request sent this request. */
export const NESTED = 'sequoiaspool-nested';
/** Id of an attempt; the gate echoes it and the entry compares it. */
export const ATTEMPT_ID = 'sequoiaspool-peer-attempt-id';
/** Node id of the entry that sends the attempt. */
export const ENTRY_NODE = 'sequoiaspool-entry-node';
/** Incarnation of the gate that the entry addresses. */
export const GATE_INCARNATION = 'sequoiaspool-gate-incarnation';
/** Version of the service that the entry chose. */
export const SERVICE_VERSION = 'sequoiaspool-service-version';
/** Load of the worker, see worker-load.ts. */
export const WORKER_LOAD = 'sequoiaspool-worker-load';
/** Has the value 1 when the request may run more than once. */
export const IDEMPOTENT = 'sequoiaspool-idempotent';
/** Epoch of the home list; the gate handles the request as the key's home. */
export const KEY_HOME_EPOCH = 'sequoiaspool-key-home-epoch';
/** Version of the replicated state that the sender has applied. */
export const STATE_VERSION = 'sequoiaspool-state-version';
/** Name of the profile's route that the entry matched. */
export const ROUTE = 'sequoiaspool-route';
/** Has the value 1 when the body is streamed after admission. */
export const STREAMED = 'sequoiaspool-streamed';
/** Has the value 1 when its connection has several unanswered requests. */
export const BULK = 'sequoiaspool-bulk';
/** Identifies identical requests across resends, for crash quarantine. */
export const FINGERPRINT = 'sequoiaspool-fingerprint';
/** Has the value 1 on a probe that a gate sends to its upstream. */
export const PROBE = 'sequoiaspool-probe';
/** Has the value 1 when the answer was stored from an earlier run. */
export const REPLAYED = 'idempotency-replayed';

/** Headers that belong to one connection and are never forwarded. */
export const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);
