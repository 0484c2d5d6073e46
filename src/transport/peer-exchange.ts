/**
 * Calls between nodes that need no more than JSON: news, and the question what
 * became of an attempt. Load goes as datagrams, since the next one makes up
 * for a lost one. Each question about an attempt goes out on a connection of
 * its own, because the one that the attempt went on is in doubt.
 */
import type {Socket} from 'node:dgram';
import {createSocket} from 'node:dgram';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Agent, Client} from 'undici';
import * as z from 'zod';
import {SealError} from '../protocol/seal.js';
import type {Attempt, AttemptAnswer} from '../protocol/attempt.js';
import {parseAddress} from '../protocol/node-identity.js';
import type {LoadBeacon, PeerUpdate} from '../protocol/peer-messages.js';
import {
  formatBeacon,
  parseBeacon,
  peerUpdateSchema,
} from '../protocol/peer-messages.js';
import {SealOutcome} from '../protocol/seal.js';
import type {SealResult} from '../protocol/seal.js';
import {readWholeBody} from './message-body.js';
import type {WireEvidence} from './move-service.js';

const NEWS_PATH = '/peers/news';
const SEAL_PATH = '/peers/seal';
const EVIDENCE_PATH = '/peers/evidence';
const BADNESS_PATH = '/peers/badness';
const STATUS_OK = 200;
const STATUS_BAD = 400;
const STATUS_UNKNOWN = 404;
const STATUS_GONE = 410;
/** Longest wait for a connection to another node, some round trips. */
const CONNECT_TIMEOUT_MS = 300;
/** Longest wait for an answer; a node busy for longer counts as silent. */
const CALL_TIMEOUT_MS = 800;
/** Time beyond the wait in which a gate must have said what it knows. */
const SEAL_MARGIN_MS = 300;
/** Idle time after which a connection for news is closed. */
const IDLE_TIMEOUT_MS = 5000;
/** Far above any news; bounds what a stray sender may make a node read. */
const MAX_BODY_BYTES = 8 * 1024 * 1024;

const answerSchema = z.object({
  status: z.int(),
  headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
  body: z.base64(),
  signature: z.string().optional(),
});

const sealQuestionSchema = z.object({
  attemptId: z.string(),
  incarnation: z.int(),
  waitMs: z.number().min(0),
});

const sealReplySchema = z.object({
  outcome: z.enum(SealOutcome),
  answer: answerSchema.optional(),
});

const evidenceQuestionSchema = z.object({service: z.string()});

const routeFiguresSchema = z.object({
  route: z.string(),
  answers: z.number(),
  failures: z.number(),
  recentAnswers: z.number(),
  recentFailures: z.number(),
  recentDurationsMs: z.array(z.number()),
  recentCancelledMs: z.array(z.number()),
});

const evidenceSchema = z.object({
  version: z.string(),
  routes: z.array(routeFiguresSchema),
});

const badMoveSchema = z.object({
  service: z.string(),
  moveId: z.string(),
  evidence: z.string(),
});

type Evidence = z.output<typeof evidenceSchema>;
type BadMove = z.output<typeof badMoveSchema>;

/** What the calls of other nodes are handed to. */
export interface PeerCallHandlers {
  readonly incarnation: number;
  handleUpdate(update: PeerUpdate): PeerUpdate;
  seal(attemptId: string, waitMs: number): Promise<SealResult>;
  /** What this gate saw of its worker. */
  readEvidence(service: string): WireEvidence | undefined;
  handleBadness(bad: BadMove): Promise<void>;
}

type CallHandler = (
  handlers: PeerCallHandlers,
  body: unknown,
) => Promise<{status: number; body: unknown}>;

const CALL_HANDLERS: Readonly<Record<string, CallHandler>> = {
  [NEWS_PATH]: async (handlers, body) => ({
    status: STATUS_OK,
    body: handlers.handleUpdate(peerUpdateSchema.parse(body)),
  }),
  [SEAL_PATH]: async (handlers, body) => {
    const question = sealQuestionSchema.parse(body);
    if (question.incarnation !== handlers.incarnation) {
      return {status: STATUS_GONE, body: {}};
    }
    const {attemptId, waitMs} = question;
    const {outcome, answer} = await handlers.seal(attemptId, waitMs);
    const held = answer && buildAnswer(answer);
    return {status: STATUS_OK, body: {outcome, ...(held && {answer: held})}};
  },
  [EVIDENCE_PATH]: async (handlers, body) => {
    const {service} = evidenceQuestionSchema.parse(body);
    const evidence = formatEvidence(handlers.readEvidence(service));
    return {status: STATUS_OK, body: evidence};
  },
  [BADNESS_PATH]: async (handlers, body) => {
    void handlers.handleBadness(badMoveSchema.parse(body));
    return {status: STATUS_OK, body: {}};
  },
};

/** Durations go as whole milliseconds; a judgement needs no more. */
function formatEvidence(evidence: WireEvidence | undefined): Evidence {
  const routes = (evidence?.routes ?? []).map(seen => ({
    ...seen,
    recentDurationsMs: seen.recentDurationsMs.map(Math.round),
    recentCancelledMs: seen.recentCancelledMs.map(Math.round),
  }));
  return {version: evidence?.version ?? '', routes};
}

/** Serves a call of another node. */
export async function servePeerCall(
  handlers: PeerCallHandlers,
  message: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const handle = CALL_HANDLERS[message.url ?? ''];
  response.on('error', () => {});
  if (!handle) {
    response.writeHead(STATUS_UNKNOWN).end();
    return;
  }
  try {
    const reply = await handle(handlers, await readJson(message));
    const text = JSON.stringify(reply.body);
    response.writeHead(reply.status, {'content-type': 'application/json'});
    response.end(text);
  } catch (error) {
    response.writeHead(STATUS_BAD).end(String(error));
  }
}

/** Calls to other nodes. */
export class PeerExchange {
  private readonly agent = new Agent({
    connections: 1,
    keepAliveTimeout: IDLE_TIMEOUT_MS,
    connect: {timeout: CONNECT_TIMEOUT_MS},
  });
  private socket: Socket | undefined;

  async sendUpdate(
    peerAddress: string,
    update: PeerUpdate,
  ): Promise<PeerUpdate> {
    return peerUpdateSchema.parse(
      await this.sendCall(peerAddress, NEWS_PATH, update),
    );
  }

  /** Asks a gate what it saw of its worker. */
  async readEvidence(peerAddress: string, service: string): Promise<Evidence> {
    const question = {service};
    const reply = await this.sendCall(peerAddress, EVIDENCE_PATH, question);
    return evidenceSchema.parse(reply);
  }

  /** Tells a node that a version is bad. */
  async pushBadness(peerAddress: string, bad: BadMove): Promise<void> {
    await this.sendCall(peerAddress, BADNESS_PATH, bad);
  }

  sendBeacon(addresses: readonly string[], beacon: LoadBeacon): void {
    const text = formatBeacon(beacon);
    for (const address of addresses) {
      const {host, port} = parseAddress(address);
      this.socket?.send(text, port, host);
    }
  }

  /** Receives beacons at an address, which also becomes their sender. */
  start(
    beaconAddress: string,
    handleBeacon: (beacon: LoadBeacon) => void,
  ): Promise<void> {
    const {host, port} = parseAddress(beaconAddress);
    const socket = createSocket('udp4');
    // A datagram that can't be sent is lost like any other.
    socket.on('error', () => {});
    socket.on('message', text => {
      const beacon = parseBeacon(text.toString());
      if (beacon) handleBeacon(beacon);
    });
    return new Promise((resolve, reject) => {
      socket.once('error', reject);
      socket.bind(port, host, () => {
        socket.off('error', reject);
        this.socket = socket;
        resolve();
      });
    });
  }

  /** Rejects when the other node did not answer in time, or in vain. */
  private async sendCall(
    peerAddress: string,
    path: string,
    body: unknown,
  ): Promise<unknown> {
    const reply = await this.agent.request({
      origin: `http://${peerAddress}`,
      path,
      method: 'POST',
      body: JSON.stringify(body),
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    });
    const text = await reply.body.text();
    if (reply.statusCode !== STATUS_OK) {
      throw new Error(`status ${reply.statusCode}`);
    }
    return JSON.parse(text) as unknown;
  }

  close(): void {
    this.socket?.close();
    this.socket = undefined;
    void this.agent.destroy();
  }
}

/**
 * Asks the gate of an attempt what became of it.
 *
 * @throws SealError
 */
export async function askSeal(
  attempt: Attempt,
  waitMs: number,
): Promise<SealResult> {
  const {peerAddress, incarnation} = attempt.target;
  const client = new Client(`http://${peerAddress}`, {
    connect: {timeout: CONNECT_TIMEOUT_MS},
  });
  const question = {attemptId: attempt.id, incarnation, waitMs};
  try {
    const {statusCode, body} = await client.request({
      method: 'POST',
      path: SEAL_PATH,
      body: JSON.stringify(question),
      signal: AbortSignal.timeout(Math.ceil(waitMs) + SEAL_MARGIN_MS),
    });
    const reply = await body.text();
    if (statusCode === STATUS_GONE) throw new SealError(true, 'restarted');
    const {outcome, answer} = sealReplySchema.parse(JSON.parse(reply));
    return {outcome, ...(answer ? {answer: readAnswer(answer)} : {})};
  } catch (error) {
    if (error instanceof SealError) throw error;
    const {code} = error as NodeJS.ErrnoException;
    throw new SealError(code === 'ECONNREFUSED', String(error));
  } finally {
    void client.destroy();
  }
}

function buildAnswer(answer: AttemptAnswer): z.input<typeof answerSchema> {
  const {status, headers, body, signature} = answer;
  return {
    status,
    headers,
    body: body.held.toString('base64'),
    ...(signature === undefined ? {} : {signature}),
  };
}

function readAnswer(answer: z.output<typeof answerSchema>): AttemptAnswer {
  const {status, headers, body, signature} = answer;
  return {
    status,
    headers,
    body: {held: Buffer.from(body, 'base64')},
    ...(signature === undefined ? {} : {signature}),
  };
}

async function readJson(message: IncomingMessage): Promise<unknown> {
  const body = await readWholeBody(message, MAX_BODY_BYTES);
  return JSON.parse(body.toString()) as unknown;
}
