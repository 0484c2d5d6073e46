/**
 * Uploads of which two attempts are open at a time. The rest of a body can be
 * read once, so one attempt alone may be sent to a worker whole. The entry, the
 * gates and the workers are real, on loopback; the gates wait for the test.
 */
import type {Server} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {PassThrough} from 'node:stream';
import {afterEach, describe, expect, it} from 'vitest';
import {countRestBytes} from '../coordination/admission/request-bytes.js';
import {AttemptSender} from '../coordination/attempt-sender.js';
import type {EntryOptions} from '../coordination/entry.js';
import {Entry} from '../coordination/entry.js';
import {NestedCalls} from '../coordination/nested-calls.js';
import {waitFor} from '../measure/wait-for.js';
import type {AttemptAnswer, SendAttempt} from '../protocol/attempt.js';
import {waitMs} from '../protocol/backoff.js';
import {profileSchema} from '../protocol/configuration.js';
import type {Headers, ServiceRequest} from '../protocol/service-request.js';
import {nodeSettingsSchema} from '../protocol/settings.js';
import {Explanations} from '../state/explanations.js';
import type {WorkerRow} from '../state/worker-table.js';
import {GateClient} from '../transport/gate-client.js';
import {createPeerServer} from '../transport/peer-listener.js';
import {UpstreamClient} from '../transport/upstream-client.js';
import {createLookup} from './stand-ins/lookup.js';
import {readWholeBody} from './stand-ins/json-http.js';

const HELD = Buffer.alloc(64 * 1024, 'h');
const PART_BYTES = 8 * 1024;
/** The rest of the body; no part is like another. */
const PARTS = Array.from('abcdefghijklmnop', letter =>
  Buffer.alloc(PART_BYTES, letter),
);
const BODY = Buffer.concat([HELD, ...PARTS]);
const DEADLINE_MS = 8000;
const ACKNOWLEDGE_MS = 10;
const SILENT_MS = 60;
const NEVER_MS = 60_000;
/** Time for messages on loopback to arrive. */
const SETTLE_MS = 100;
const WORK_MS = 300;
/** Id of the request that `createLookup` creates. */
const REQUEST_ID = 'request-1';
const WHOLE = 'whole';
const BROKEN = 'broken off';

/** Steps of the test, in the order of a row. */
const STEPS = {
  /** The gate of the first attempt wakes and admits it. */
  firstAdmits: async (stage: Stage) => stage.gates[0]!.admit(),
  /** The gate of the retry or the hedge admits it. */
  secondAdmits: async (stage: Stage) => stage.gates[1]!.admit(),
  /** The caller sends half of the rest of its body. */
  callerSends: async (stage: Stage) => stage.sendParts(PARTS.length / 2),
  callerPauses: () => waitMs(SETTLE_MS),
  callerLeaves: async (stage: Stage) => void stage.rest.destroy(),
  callerFails: async (stage: Stage) =>
    void stage.rest.destroy(new Error('caller disconnected')),
  entryCancels: async (stage: Stage) => stage.abort.abort(),
} as const;

interface ReaderRow {
  readonly name: string;
  readonly steps: ReadonlyArray<keyof typeof STEPS>;
  /** Index of the gate whose worker gets the whole body. */
  readonly reader: number;
  /** Whether the second attempt is a hedge and the first gate not silent. */
  readonly isHedge?: boolean;
}

const ORDERS: readonly ReaderRow[] = [
  {
    name: 'the retry is admitted, the silent gate wakes while it is read',
    steps: [
      'secondAdmits',
      'callerSends',
      'callerPauses',
      'firstAdmits',
      'callerPauses',
      'callerSends',
    ],
    reader: 1,
  },
  {
    name: 'the retry is admitted, the silent gate wakes once it was read',
    steps: [
      'callerSends',
      'callerSends',
      'secondAdmits',
      'callerPauses',
      'firstAdmits',
    ],
    reader: 1,
  },
  {
    name: 'the silent gate wakes, the retry is admitted while it is read',
    steps: [
      'firstAdmits',
      'callerSends',
      'callerPauses',
      'secondAdmits',
      'callerPauses',
      'callerSends',
    ],
    reader: 0,
  },
  {
    name: 'both are admitted before the caller goes on',
    steps: [
      'firstAdmits',
      'callerPauses',
      'secondAdmits',
      'callerPauses',
      'callerSends',
      'callerSends',
    ],
    reader: 0,
  },
  {
    name: 'a hedge is admitted, the first attempt while it is read',
    steps: [
      'secondAdmits',
      'callerSends',
      'callerPauses',
      'firstAdmits',
      'callerPauses',
      'callerSends',
    ],
    reader: 1,
    isHedge: true,
  },
];

const FRAMINGS = ['with a length', 'in chunks', 'in chunks, counted'];

/** How the body is sent, and where the second attempt goes. */
interface StageRow {
  readonly framing: string;
  /** Whose worker the second attempt runs at: that of another host or its own. */
  readonly host: string;
  readonly isHedge?: boolean;
}

const ROWS = ORDERS.flatMap(order =>
  FRAMINGS.flatMap(framing =>
    ['another', 'its own'].map(host => ({...order, framing, host})),
  ),
);

/** A worker that runs requests whose whole body it has read. */
class Worker {
  readonly runs: string[] = [];
  readonly server = createServer((message, response) => {
    void readWholeBody(message).then(
      async body => {
        const run = describeBody(body);
        this.runs.push(run);
        await waitMs(WORK_MS);
        response.end(run);
      },
      () => this.runs.push(BROKEN),
    );
  });
}

/** A gate that admits attempts when the test says so, and its worker. */
class Gate {
  readonly worker = new Worker();
  hasAttempt = false;
  admit: () => void = () => {};
  private readonly admitted = new Promise<void>(
    resolve => (this.admit = resolve),
  );
  private client: UpstreamClient | undefined;
  readonly server: Server;

  constructor(
    private readonly isCounted: boolean,
    acknowledgeIntervalMs: number,
  ) {
    this.server = createPeerServer({
      handleAttempt: ({request}, signal, handleAdmitted) =>
        this.run(request, signal, handleAdmitted),
      handleCall: () => {},
      acknowledgeIntervalMs,
    });
  }

  async run(
    request: ServiceRequest,
    signal: AbortSignal,
    handleAdmitted: () => void = () => {},
  ): Promise<AttemptAnswer> {
    this.hasAttempt = true;
    await this.admitted;
    handleAdmitted();
    this.client ??= new UpstreamClient(findAddress(this.worker.server), 4, 500);
    const sent = this.isCounted
      ? countRestBytes(request, {release: () => {}, recordBytes: () => {}})
      : request;
    return this.client.sendRequest(sent, signal);
  }
}

function describeBody(body: Buffer): string {
  return body.equals(BODY) ? WHOLE : `${body.length} bytes`;
}

/** Two gates, and an entry that sends them one upload. */
class Stage {
  readonly gates: readonly Gate[];
  readonly rest = new PassThrough({highWaterMark: BODY.length});
  readonly abort = new AbortController();
  readonly explanations = new Explanations();
  private sentParts = 0;

  constructor(private readonly row: StageRow) {
    const isCounted = row.framing === 'in chunks, counted';
    const firstInterval = row.isHedge ? ACKNOWLEDGE_MS : NEVER_MS;
    this.gates = [
      new Gate(isCounted, firstInterval),
      new Gate(isCounted, ACKNOWLEDGE_MS),
    ];
  }

  async start(): Promise<void> {
    for (const server of this.listServers()) {
      await new Promise<void>(resolve =>
        server.listen(0, '127.0.0.1', resolve),
      );
    }
  }

  stop(): void {
    for (const server of this.listServers()) {
      server.closeAllConnections();
      server.close();
    }
  }

  listServers(): Server[] {
    return this.gates.flatMap(({server, worker}) => [server, worker.server]);
  }

  sendParts(count: number): void {
    for (const part of PARTS.slice(this.sentParts, this.sentParts + count)) {
      this.rest.write(part);
      this.sentParts += 1;
    }
    if (this.sentParts === PARTS.length) this.rest.end();
  }

  sendUpload(): Promise<string> {
    const {row, rest} = this;
    const hasLength = row.framing === 'with a length';
    const headers: Headers = hasLength
      ? {'content-length': String(BODY.length)}
      : {};
    const request: ServiceRequest = {
      ...createLookup(performance.now() + DEADLINE_MS),
      method: 'PUT',
      headers,
      body: {held: HELD, rest},
    };
    return this.createEntry()
      .handleRequest(request, this.abort.signal)
      .then(({body}) => body.held.toString());
  }

  private createEntry(): Entry {
    const {row, gates} = this;
    const {hedging, ...parsed} = profileSchema.parse({
      retries: {budgetPercent: 100, budgetBurst: 100},
      hedging: {enabled: row.isHedge ?? false},
    });
    // One call is to pay for a hedge.
    const profile = {...parsed, hedging: {...hedging, budgetPercent: 100}};
    const {connections} = nodeSettingsSchema.shape;
    const client = new GateClient(
      'entry',
      connections.parse({acknowledgeTimeout: `${SILENT_MS}ms`}),
    );
    const sender = new AttemptSender(
      (...call) => client.sendAttempt(...call),
      () => Promise.reject(new Error('only for requests that run once')),
      () => {},
    );
    const rows = gates.map(({server}, index) => createRow(server, index));
    let count = 0;
    return new Entry({
      dataCentre: 'one',
      state: {findProfile: () => profile, isDataCentreOut: () => false},
      workers: {
        listWorkers: () => rows.slice(count),
        listNodes: () => rows.map(({target}) => target),
      },
      explanations: this.explanations,
      sendAttempt: (
        ...[attempt, signal, handleSilence]: Parameters<SendAttempt>
      ) => {
        const isOwn = count === 1 && row.host === 'its own';
        count += 1;
        return isOwn
          ? gates[1]!.run(attempt.request, signal)
          : sender.sendAttempt(attempt, signal, handleSilence);
      },
      createAttemptTimes: () => ({
        record: () => {},
        compute: () => SILENT_MS,
      }),
      random: Math.random,
      createAttemptId: () => `attempt-${count}`,
      count: () => {},
      nestedCalls: new NestedCalls(),
      isQuarantined: () => false,
      selectWorkers: (service: string, selected: readonly WorkerRow[]) => [
        ...selected,
      ],
    } as unknown as EntryOptions);
  }
}

function findAddress(server: Server): string {
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function createRow(server: Server, index: number): WorkerRow {
  const peerAddress = findAddress(server);
  return {
    target: {nodeId: `gate-${index}`, incarnation: 1, peerAddress},
    dataCentre: 'one',
    service: 'kona-desk',
    version: 'v1',
    slots: 1,
    state: 'ready',
    isSuspect: false,
    inFlightHere: 0,
    observed: undefined,
  };
}

let stage: Stage;

afterEach(() => stage.stop());

// Guards against two attempts that share the stream of one body, so that a
// worker takes a part of an upload for the whole of it.
describe('one worker runs an upload, and whole', () => {
  it.each(ROWS)('$name; $framing, second on $host host', async row => {
    stage = new Stage(row);
    await stage.start();
    const answer = stage.sendUpload();
    answer.catch(() => {});
    await waitFor('both attempts', () =>
      stage.gates.every(({hasAttempt}) => hasAttempt),
    );
    for (const step of row.steps) await STEPS[step](stage);
    expect(await answer).toBe(WHOLE);
    await waitMs(SETTLE_MS);
    const runs = stage.gates.map(({worker}) =>
      worker.runs.filter(run => run !== BROKEN),
    );
    expect(runs).toEqual(row.reader === 0 ? [[WHOLE], []] : [[], [WHOLE]]);
    // The entry sends a body to its own worker without an exchange to log.
    if (row.host === 'its own') return;
    const steps = stage.explanations.formatSteps(REQUEST_ID);
    for (const [index, node] of ['gate-0', 'gate-1'].entries()) {
      const isWhole = index === row.reader;
      const given = isWhole ? BODY.length : HELD.length;
      expect(steps).toContain(
        `body node=${node} isWhole=${isWhole} givenBytes=${given} `,
      );
    }
  });
});

const BREAKS: ReadonlyArray<ReadonlyArray<keyof typeof STEPS>> = [
  ['callerSends', 'firstAdmits', 'callerPauses', 'callerLeaves'],
  ['callerSends', 'firstAdmits', 'callerPauses', 'callerFails'],
  ['callerSends', 'callerLeaves', 'firstAdmits'],
  ['callerSends', 'firstAdmits', 'callerPauses', 'entryCancels'],
];

// Guards against a gate, or an entry, that ends a body in order of which it got
// no more than a part.
describe('a worker never takes a part of an upload for the whole', () => {
  it.each(BREAKS.flatMap(steps => FRAMINGS.map(framing => ({steps, framing}))))(
    '$framing; $steps',
    async ({steps, framing}) => {
      stage = new Stage({framing, host: 'another', isHedge: true});
      stage.rest.on('error', () => {});
      await stage.start();
      const answer = stage.sendUpload();
      answer.catch(() => {});
      await waitFor('the attempt', () => stage.gates[0]!.hasAttempt);
      for (const step of steps) await STEPS[step](stage);
      await expect(answer).rejects.toThrow();
      await waitMs(SETTLE_MS);
      const runs = stage.gates.flatMap(({worker}) => worker.runs);
      expect(runs.filter(run => run !== BROKEN)).toEqual([]);
    },
  );
});
