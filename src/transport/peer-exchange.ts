/**
 * Calls between nodes as JSON over HTTP: node updates, version moves and the
 * sealing of attempts. Load is sent in datagrams, since the next one makes up
 * for a lost one. Each call that seals an attempt uses a new connection,
 * because the one that carried the attempt may have failed.
 */
import type {Socket} from 'node:dgram';
import {createSocket} from 'node:dgram';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {Agent, Client} from 'undici';
import * as z from 'zod';
import {SealError} from '../protocol/seal.js';
import type {Attempt, AttemptAnswer} from '../protocol/attempt.js';
import {parseAddress} from '../protocol/node-identity.js';
import type {
  CrashPush,
  FindDescription,
  LoadBeacon,
  PeerUpdate,
} from '../protocol/peer-messages.js';
import {
  crashPushSchema,
  formatBeacon,
  parseBeacon,
  peerUpdateSchema,
} from '../protocol/peer-messages.js';
import {SealOutcome} from '../protocol/seal.js';
import type {SealResult} from '../protocol/seal.js';
import type {CrashRecord} from '../protocol/crash-record.js';
import {readWholeBody} from './message-body.js';
import type {WireEvidence} from './move-service.js';

const UPDATE_PATH = '/peers/news';
const SEAL_PATH = '/peers/seal';
const EVIDENCE_PATH = '/peers/evidence';
const CRASHES_PATH = '/peers/crashes';
const BAD_VERSION_PATH = '/peers/badness';
const STATUS_OK = 200;
const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
const STATUS_GONE = 410;
/** Timeout of connecting to another node: several round trips. */
const CONNECT_TIMEOUT_MS = 300;
/** Timeout of a call; a node that is busy for longer counts as silent. */
const CALL_TIMEOUT_MS = 800;
/** Time that a gate has for its reply beyond the requested wait. */
const SEAL_MARGIN_MS = 300;
/** Idle time after which a connection for calls is closed. */
const IDLE_TIMEOUT_MS = 5000;
/** Far above the size of any update; limits what a peer can make this node keep. */
const MAX_BODY_BYTES = 8 * 1024 * 1024;

const answerSchema = z.object({
  status: z.int(),
  headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
  body: z.base64(),
  signature: z.string().optional(),
});

const sealRequestSchema = z.object({
  attemptId: z.string(),
  incarnation: z.int(),
  waitMs: z.number().min(0),
});

const sealReplySchema = z.object({
  outcome: z.enum(SealOutcome),
  answer: answerSchema.optional(),
});

const evidenceRequestSchema = z.object({service: z.string()});

const routeEvidenceSchema = z.object({
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
  routes: z.array(routeEvidenceSchema),
});

const badVersionSchema = z.object({
  service: z.string(),
  moveId: z.string(),
  evidence: z.string(),
});

type Evidence = z.output<typeof evidenceSchema>;
type BadVersion = z.output<typeof badVersionSchema>;

/** Handlers of calls from other nodes. */
export interface PeerCallHandlers {
  readonly incarnation: number;
  handleUpdate(update: PeerUpdate): PeerUpdate;
  seal(attemptId: string, waitMs: number): Promise<SealResult>;
  /** Returns the answer statistics of this gate's worker. */
  readEvidence(service: string): WireEvidence | undefined;
  handleBadVersion(bad: BadVersion): Promise<void>;
  handleCrashes(push: CrashPush): void;
}

type CallHandler = (
  handlers: PeerCallHandlers,
  body: unknown,
) => Promise<{status: number; body: unknown}>;

const CALL_HANDLERS: Readonly<Record<string, CallHandler>> = {
  [UPDATE_PATH]: async (handlers, body) => ({
    status: STATUS_OK,
    body: handlers.handleUpdate(peerUpdateSchema.parse(body)),
  }),
  [SEAL_PATH]: async (handlers, body) => {
    const requestBody = sealRequestSchema.parse(body);
    if (requestBody.incarnation !== handlers.incarnation) {
      return {status: STATUS_GONE, body: {}};
    }
    const {attemptId, waitMs} = requestBody;
    const {outcome, answer} = await handlers.seal(attemptId, waitMs);
    const held = answer && buildAnswer(answer);
    return {status: STATUS_OK, body: {outcome, ...(held && {answer: held})}};
  },
  [EVIDENCE_PATH]: async (handlers, body) => {
    const {service} = evidenceRequestSchema.parse(body);
    const evidence = formatEvidence(handlers.readEvidence(service));
    return {status: STATUS_OK, body: evidence};
  },
  [BAD_VERSION_PATH]: async (handlers, body) => {
    void handlers.handleBadVersion(badVersionSchema.parse(body));
    return {status: STATUS_OK, body: {}};
  },
  [CRASHES_PATH]: async (handlers, body) => {
    handlers.handleCrashes(crashPushSchema.parse(body));
    return {status: STATUS_OK, body: {}};
  },
};

/** Rounds durations to milliseconds, which the version evaluation needs. */
function formatEvidence(evidence: WireEvidence | undefined): Evidence {
  const routes = (evidence?.routes ?? []).map(route => ({
    ...route,
    recentDurationsMs: route.recentDurationsMs.map(Math.round),
    recentCancelledMs: route.recentCancelledMs.map(Math.round),
  }));
  return {version: evidence?.version ?? '', routes};
}

/** Serves a call from another node. */
export async function servePeerCall(
  handlers: PeerCallHandlers,
  message: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const handle = CALL_HANDLERS[message.url ?? ''];
  response.on('error', () => {});
  if (!handle) {
    response.writeHead(STATUS_NOT_FOUND).end();
    return;
  }
  try {
    const reply = await handle(handlers, await readJson(message));
    const text = JSON.stringify(reply.body);
    response.writeHead(reply.status, {'content-type': 'application/json'});
    response.end(text);
  } catch (error) {
    response.writeHead(STATUS_BAD_REQUEST).end(String(error));
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
      await this.sendCall(peerAddress, UPDATE_PATH, update),
    );
  }

  /** Reads the answer statistics of a gate's worker. */
  async readEvidence(peerAddress: string, service: string): Promise<Evidence> {
    const requestBody = {service};
    const reply = await this.sendCall(peerAddress, EVIDENCE_PATH, requestBody);
    return evidenceSchema.parse(reply);
  }

  /** Reports to a node that a version was found bad. */
  async pushBadness(peerAddress: string, bad: BadVersion): Promise<void> {
    await this.sendCall(peerAddress, BAD_VERSION_PATH, bad);
  }

  /** Sends crash reports to a node, which forwards them. */
  async pushCrashes(
    peerAddress: string,
    reports: readonly CrashRecord[],
    forwardTo: readonly string[],
  ): Promise<void> {
    await this.sendCall(peerAddress, CRASHES_PATH, {reports, forwardTo});
  }

  sendBeacon(addresses: readonly string[], beacon: LoadBeacon): void {
    const text = formatBeacon(beacon);
    for (const address of addresses) {
      const {host, port} = parseAddress(address);
      this.socket?.send(text, port, host);
    }
  }

  /** Binds the address that load datagrams are received at and sent from. */
  start(
    beaconAddress: string,
    handleBeacon: (beacon: LoadBeacon) => void,
    findDescription: FindDescription,
  ): Promise<void> {
    const {host, port} = parseAddress(beaconAddress);
    const socket = createSocket('udp4');
    // A datagram that can't be sent is treated as lost.
    socket.on('error', () => {});
    socket.on('message', text => {
      const beacon = parseBeacon(text.toString(), findDescription);
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

  /**
   * Sends a call and returns the parsed reply. Rejects on a timeout and on any
   * status but 200.
   */
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
    const text = (await readWholeBody(reply.body, MAX_BODY_BYTES)).toString();
    if (reply.statusCode !== STATUS_OK) {
      throw new Error(`peer answered with status ${reply.statusCode}`);
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
 * Asks the gate of an attempt to seal it, or to return its answer.
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
  const requestBody = {attemptId: attempt.id, incarnation, waitMs};
  try {
    const {statusCode, body} = await client.request({
      method: 'POST',
      path: SEAL_PATH,
      body: JSON.stringify(requestBody),
      signal: AbortSignal.timeout(Math.ceil(waitMs) + SEAL_MARGIN_MS),
    });
    const reply = (await readWholeBody(body, MAX_BODY_BYTES)).toString();
    if (statusCode === STATUS_GONE) throw new SealError(true, 'gate restarted');
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
