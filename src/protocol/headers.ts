/**
 * Header names, in lower case as Node.js gives them. Callers use established
 * names; those that begin with `sequoiaspool-` are the system's own.
 */

/** Names the logical request; resends of one request carry the same key. */
export const IDEMPOTENCY_KEY = 'idempotency-key';
/** Names the caller for fairness; the connection's address stands in for it. */
export const CALLER_ID = 'x-client-id';
/** Time limit of the whole request in milliseconds, as in the Connect protocol. */
export const TIME_LIMIT = 'connect-timeout-ms';
/** Names one request in logs and explanations. */
export const REQUEST_ID = 'x-request-id';

/** Verdict of an answer or refusal, see verdict.ts. */
export const VERDICT = 'sequoiaspool-verdict';
/** Stable code of a refusal, see reasons.ts. */
export const REASON = 'sequoiaspool-reason';
/** Id of the request on the way between nodes. */
export const PEER_REQUEST_ID = 'sequoiaspool-request-id';
/** Milliseconds until the deadline on the way between nodes. */
export const PEER_REMAINING = 'sequoiaspool-remaining-ms';
/** Caller of the request on the way between nodes. */
export const PEER_CALLER = 'sequoiaspool-caller';
/** Rank of the request on the way between nodes. */
export const PEER_RANK = 'sequoiaspool-rank';
/** Milliseconds until an answer is late, on the way between nodes. */
export const PEER_TARGET = 'sequoiaspool-target-ms';
/** Milliseconds after which a refusing gate expects room. */
export const PEER_RETRY_AFTER = 'sequoiaspool-retry-after-ms';
/** Signature of an upstream's answer on the way between nodes. */
export const PEER_SIGNATURE = 'sequoiaspool-signature';
/** Present with value 1 when a running request made the request. */
export const NESTED = 'sequoiaspool-nested';
/** Id of one attempt; the gate echoes it and the entry compares. */
export const ATTEMPT_ID = 'sequoiaspool-peer-attempt-id';
/** Node id of the entry that sends the attempt. */
export const ENTRY_NODE = 'sequoiaspool-entry-node';
/** Incarnation of the gate that the entry means. */
export const GATE_INCARNATION = 'sequoiaspool-gate-incarnation';
/** Version of the service that the entry chose. */
export const SERVICE_VERSION = 'sequoiaspool-service-version';
/** Load figures of the worker, see worker-load.ts. */
export const WORKER_LOAD = 'sequoiaspool-worker-load';
/** Present with value 1 when the request may run more than once. */
export const IDEMPOTENT = 'sequoiaspool-idempotent';
/** Tells the gate to handle the request as the home of its key. */
export const KEY_HOME_EPOCH = 'sequoiaspool-key-home-epoch';
/** Version of the folded state that the sender has applied. */
export const STATE_VERSION = 'sequoiaspool-state-version';
/** Name of the profile's route that the entry matched. */
export const ROUTE = 'sequoiaspool-route';
/** Present with value 1 when the body is streamed after admission. */
export const STREAMED = 'sequoiaspool-streamed';
/** Identifies equal requests across resends, for crash quarantine. */
export const FINGERPRINT = 'sequoiaspool-fingerprint';
/** Marks a probe of a gate to its upstream, with value 1. */
export const PROBE = 'sequoiaspool-probe';
/** Whether the answer was held in memory from an earlier run, with value 1. */
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
