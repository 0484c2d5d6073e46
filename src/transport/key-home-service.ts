/**
 * Calls between key homes (nodes that own idempotency keys) over Connect. Each
 * call uses a new connection: a kept one may have failed unnoticed, and a call
 * without a reply leaves a key in doubt.
 */
import type {ConnectRouter} from '@connectrpc/connect';
import {createClient} from '@connectrpc/connect';
import {createConnectTransport} from '@connectrpc/connect-node';
import {AttemptService} from '../protocol/attempts_pb.js';
import type {KeyClaim} from '../protocol/attempts_pb.js';
import type {
  ClaimCopy,
  KeyTransfer,
  StoredAnswer,
  KeySealRequest,
  KeySealReply,
} from '../protocol/key-messages.js';
import {readKeySealOutcome} from '../protocol/key-messages.js';
import {buildAnswer, readAnswer} from './attempt-service.js';

/** Time that an earlier home has for its reply beyond the requested wait. */
const REPLY_MARGIN_MS = 500;
const KEY_TRANSFER_TIMEOUT_MS = 5000;

/** Handlers of calls from other nodes. */
export interface KeyHomeHandlers {
  handleSeal(sealRequest: KeySealRequest): Promise<KeySealReply>;
  /** Returns the number of claims accepted. */
  handleKeyTransfer(transfer: KeyTransfer): number;
}

/** Registers the calls between key homes. */
export function registerKeyHomeCalls(
  router: ConnectRouter,
  peerAddress: string,
  handlers: KeyHomeHandlers,
): void {
  const {sealKey, handOverKeys} = AttemptService.method;
  router.rpc(sealKey, async ({service, key, epoch, waitMs, ...named}) => {
    const {nodeId, incarnation} = named;
    const home = {nodeId, incarnation, peerAddress};
    const sealRequest = {service, key, epoch, home, waitMs};
    const {answer, ...reply} = await handlers.handleSeal(sealRequest);
    return {...reply, ...(answer ? {answer: buildAnswer(answer)} : {})};
  });
  router.rpc(handOverKeys, ({fromNodeId, nodeId, incarnation, claims}) => {
    const to = {nodeId, incarnation, peerAddress};
    const copies = claims.map(readClaim);
    return {
      accepted: handlers.handleKeyTransfer({fromNodeId, to, claims: copies}),
    };
  });
}

/**
 * Asks an earlier home to seal a key.
 *
 * @throws ConnectError when no reply came.
 */
export async function askSealKey(
  sealRequest: KeySealRequest,
): Promise<KeySealReply> {
  const {service, key, epoch, home, waitMs} = sealRequest;
  const client = createSingleUseClient(
    home.peerAddress,
    waitMs + REPLY_MARGIN_MS,
  );
  const reply = await client.sealKey({
    service,
    key,
    epoch,
    nodeId: home.nodeId,
    incarnation: home.incarnation,
    waitMs,
  });
  return {
    outcome: readKeySealOutcome(reply.outcome),
    fingerprint: reply.fingerprint,
    ...(reply.answer ? {answer: readStoredAnswer(reply.answer)} : {}),
    firstOpenEpoch: reply.firstOpenEpoch,
  };
}

/**
 * Copies claims to another home and resolves with the number it accepted.
 *
 * @throws ConnectError when no reply came.
 */
export async function sendKeyTransfer(transfer: KeyTransfer): Promise<number> {
  const {fromNodeId, to, claims} = transfer;
  const client = createSingleUseClient(to.peerAddress, KEY_TRANSFER_TIMEOUT_MS);
  const {accepted} = await client.handOverKeys({
    fromNodeId,
    nodeId: to.nodeId,
    incarnation: to.incarnation,
    claims: claims.map(({answer, ...claim}) => ({
      ...claim,
      ...(answer ? {answer: buildAnswer(answer)} : {}),
    })),
  });
  return accepted;
}

function createSingleUseClient(peerAddress: string, timeoutMs: number) {
  const transport = createConnectTransport({
    baseUrl: `http://${peerAddress}`,
    httpVersion: '1.1',
    useBinaryFormat: true,
    nodeOptions: {agent: false},
    defaultTimeoutMs: timeoutMs,
  });
  return createClient(AttemptService, transport);
}

function readClaim(claim: KeyClaim): ClaimCopy {
  const {service, key, fingerprint, state, answer, ageMs} = claim;
  return {
    service,
    key,
    fingerprint,
    state: state === 'finished' ? 'finished' : 'in-doubt',
    ...(answer ? {answer: readStoredAnswer(answer)} : {}),
    ageMs,
  };
}

function readStoredAnswer(
  answer: Parameters<typeof readAnswer>[0],
): StoredAnswer {
  const {status, headers, body} = readAnswer(answer);
  return {status, headers, body: {held: body.held}};
}
