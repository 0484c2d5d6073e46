/**
 * A seeded simulation of the real KeyHome code: several homes in one process,
 * a message layer that delays, reorders and loses messages, changes of the home
 * list, nodes that freeze, restart and leave, and copies of one request that
 * arrive at any node. The seed determines the order of all events.
 */
import seedrandom from 'seedrandom';
import {chooseHome} from '../coordination/home-choice.js';
import {HomeEpochs, isSameHome} from '../coordination/home-epochs.js';
import type {KeyedRequest} from '../coordination/key-home.js';
import {KeyHome} from '../coordination/key-home.js';
import {leaveHomes} from '../coordination/key-leave.js';
import type {Profile} from '../protocol/configuration.js';
import {profileSchema} from '../protocol/configuration.js';
import type {KeySealRequest, KeySealReply} from '../protocol/key-messages.js';
import {Reason, RefusalError} from '../protocol/reasons.js';
import type {KeyHome as HomeEntry} from '../protocol/records.js';
import type {ServiceAnswer} from '../protocol/service-request.js';
import {EMPTY_BODY} from '../protocol/service-request.js';
import {Verdict} from '../protocol/verdict.js';
import type {HomeList} from '../state/replicated-state.js';
import type {ServiceKey, SealResult} from '../state/key-claims.js';
import {KeyClaims} from '../state/key-claims.js';

const SERVICE = 'kona-desk';
const NODES = 4;
const MAX_LISTS = 5;
const MAX_COPIES = 8;
const MAX_RESTARTS = 3;
const MAX_LEAVES = 2;
const STEPS = 160;
/** Long enough that no deadline expires in a simulation. */
const DEADLINE_MS = 1_000_000;
const PROFILE: Profile = profileSchema.parse({});

/** A step of the algorithm to disable; the simulation must detect it. */
export type Mutation =
  | 'none'
  | 'no-recheck'
  | 'no-seal'
  | 'only-last-home'
  | 'ignore-incarnation'
  | 'no-copies'
  | 'no-close';

/** Result of one simulation. */
export interface SimulationResult {
  /** Number of runs of the key. */
  readonly runs: number;
  /** Number of copies refused as `not-run` although they ran. */
  readonly falseNotRun: number;
  /** Number of different answers that copies received. */
  readonly differentAnswers: number;
  readonly verdicts: Readonly<Record<Verdict, number>>;
}

/** Claims that do not store seals. */
class SeallessClaims extends KeyClaims {
  override seal(serviceKey: ServiceKey): SealResult {
    const claim = this.find(serviceKey);
    return claim ? {kind: 'known', claim} : {kind: 'sealed'};
  }
}

/** Claims that do not check for a seal when a key is claimed. */
class UncheckedClaims extends KeyClaims {
  override findSealedEpoch(): number {
    return 0;
  }
}

/** Claims that stay open when the node leaves. */
class OpenClaims extends KeyClaims {
  override close(): void {}
}

function createClaims(mutation: Mutation): KeyClaims {
  if (mutation === 'no-seal') return new SeallessClaims();
  if (mutation === 'no-recheck') return new UncheckedClaims();
  if (mutation === 'no-close') return new OpenClaims();
  return new KeyClaims();
}

/** One process; a restart replaces it with another one. */
interface SimulatedProcess {
  readonly entry: HomeEntry;
  readonly home: KeyHome;
  readonly claims: KeyClaims;
  readonly epochs: HomeEpochs;
  /** Number of home lists that the process has read. */
  knownLists: number;
  isFrozen: boolean;
  isDead: boolean;
  isLeaving: boolean;
}

/** A scheduled event at a process, or outside all processes. */
interface PendingEvent {
  readonly at: SimulatedProcess | undefined;
  readonly run: () => void;
  /** Runs instead of `run` when the process has died. */
  readonly fail: () => void;
}

/** One simulation of one key. */
export class Simulation {
  private readonly random: () => number;
  private readonly lists: HomeList[] = [];
  private readonly processes: SimulatedProcess[] = [];
  private readonly pending: PendingEvent[] = [];
  private readonly end = new AbortController();
  private readonly key: string;
  private readonly runsByCopy = new Map<string, number>();
  private readonly refusedCopies = new Set<string>();
  private readonly answers = new Set<string>();
  private readonly verdicts = {'not-run': 0, 'may-have-run': 0, ran: 0};
  private copies = 0;
  private restarts = 0;
  private leaves = 0;
  private runs = 0;

  constructor(
    seed: string,
    private readonly mutation: Mutation,
  ) {
    this.random = seedrandom(seed);
    this.key = `key-${seed}`;
    for (let index = 0; index < NODES; index++) {
      this.processes.push(this.createProcess(`node-${index}`, 1));
    }
    this.addList(
      this.processes.map(process => process.entry),
      [],
    );
    for (const process of this.processes) process.knownLists = 1;
  }

  /** Runs all steps and returns the result. */
  async run(): Promise<SimulationResult> {
    for (let step = 0; step < STEPS; step++) {
      this.runStep();
      await flush();
    }
    this.end.abort();
    await flush();
    let falseNotRun = 0;
    for (const copy of this.refusedCopies) {
      if (this.runsByCopy.has(copy)) falseNotRun += 1;
    }
    return {
      runs: this.runs,
      falseNotRun,
      differentAnswers: this.answers.size,
      verdicts: this.verdicts,
    };
  }

  private runStep(): void {
    const actions: ReadonlyArray<readonly [number, () => void]> = [
      [0.55, () => this.runPending()],
      [0.15, () => this.sendCopy()],
      [0.12, () => this.readList()],
      [0.08, () => this.appendList()],
      [0.05, () => this.pauseOrResume()],
      [0.03, () => this.startNewIncarnation()],
      [0.02, () => this.startLeave()],
    ];
    let draw = this.random();
    for (const [weight, act] of actions) {
      draw -= weight;
      if (draw < 0) return act();
    }
  }

  private pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.random() * items.length)]!;
  }

  private runPending(): void {
    const runnable = this.pending.filter(({at}) => !at?.isFrozen);
    if (runnable.length === 0) return;
    const event = this.pick(runnable);
    this.pending.splice(this.pending.indexOf(event), 1);
    if (event.at?.isDead) event.fail();
    else event.run();
  }

  private enqueue(
    at: SimulatedProcess | undefined,
    run: () => void,
    fail: () => void = () => {},
  ): void {
    this.pending.push({at, run, fail});
  }

  /** Schedules the arrival of a copy of the request at some process. */
  private sendCopy(): void {
    if (this.copies >= MAX_COPIES) return;
    const id = `copy-${this.copies++}`;
    const process = this.pickReceiver();
    const request: KeyedRequest = {
      id,
      service: SERVICE,
      method: 'POST',
      path: '/bookings',
      headers: {},
      caller: 'mender',
      deadline: performance.now() + DEADLINE_MS,
      route: 'default',
      idempotent: false,
      rank: 0,
      key: this.key,
      fingerprint: 'same',
      body: EMPTY_BODY,
    };
    this.enqueue(process, () => {
      process.home.handleRequest(request, this.end.signal).then(
        answer => this.recordAnswer(answer),
        error => this.recordRefusal(id, error),
      );
    });
  }

  /** Picks the home under a random list, or at times any process. */
  private pickReceiver(): SimulatedProcess {
    const {homes} = this.pick(this.lists);
    const home = chooseHome(homes, SERVICE, this.key);
    const target = this.processes.find(
      ({entry}) => entry.nodeId === home?.nodeId,
    );
    return target && this.random() < 0.8 ? target : this.pick(this.processes);
  }

  private recordAnswer(answer: ServiceAnswer): void {
    this.verdicts.ran += 1;
    this.answers.add(answer.body.held.toString());
  }

  private recordRefusal(id: string, error: unknown): void {
    if (this.end.signal.aborted) return;
    if (!(error instanceof RefusalError)) throw error;
    this.verdicts[error.verdict] += 1;
    if (error.verdict === Verdict.NOT_RUN) this.refusedCopies.add(id);
  }

  private readList(): void {
    const process = this.pick(this.processes);
    if (process.isFrozen || process.knownLists >= this.lists.length) return;
    process.knownLists += 1;
    process.epochs.observe(SERVICE);
  }

  private appendList(): void {
    if (this.lists.length >= MAX_LISTS) return;
    const homes = this.processes
      .filter(process => !process.isLeaving && this.random() < 0.7)
      .map(process => process.entry);
    if (homes.length > 0) this.addList(homes, []);
  }

  private addList(
    homes: readonly HomeEntry[],
    handedOver: readonly HomeEntry[],
  ): void {
    const epoch = this.lists.length + 1;
    this.lists.push({epoch, homes, handedOver, writtenAtMs: 0});
  }

  private pauseOrResume(): void {
    const process = this.pick(this.processes);
    process.isFrozen = !process.isFrozen;
  }

  private startNewIncarnation(): void {
    if (this.restarts >= MAX_RESTARTS) return;
    this.restarts += 1;
    const index = Math.floor(this.random() * NODES);
    const old = this.processes[index]!;
    old.isDead = true;
    old.isFrozen = false;
    const {nodeId, incarnation} = old.entry;
    const process = this.createProcess(nodeId, incarnation + 1);
    process.knownLists = 1 + Math.floor(this.random() * this.lists.length);
    this.processes[index] = process;
  }

  private startLeave(): void {
    const process = this.pick(this.processes);
    if (this.leaves >= MAX_LEAVES || process.isLeaving) return;
    if (process.isFrozen) return;
    this.leaves += 1;
    process.isLeaving = true;
    void leaveHomes({
      identity: process.entry,
      state: this.createState(process),
      claims: process.claims,
      calls: this.createCalls(process),
      listServices: () => [SERVICE],
      listCandidates: () =>
        this.processes
          .filter(({isLeaving}) => !isLeaving)
          .map(({entry}) => entry),
      appendList: list =>
        new Promise(resolve =>
          this.enqueue(process, () => {
            const isNext = list.buildsOn === this.lists.length;
            if (isNext) this.addList(list.homes, list.handedOver);
            process.knownLists = this.lists.length;
            resolve(isNext);
          }),
        ),
      signal: this.end.signal,
    }).catch(() => {});
  }

  private createProcess(nodeId: string, incarnation: number): SimulatedProcess {
    const entry = {nodeId, incarnation, peerAddress: '127.0.0.1:1'};
    const claims = createClaims(this.mutation);
    const process = {entry, claims, knownLists: 0} as SimulatedProcess;
    const state = this.createState(process);
    const epochs = new HomeEpochs(state);
    const home = new KeyHome({
      identity: entry,
      state,
      epochs,
      claims,
      calls: this.createCalls(process),
      runRequest: request => this.runAtWorker(process, request.id),
      listWaitMs: 0,
    });
    return Object.assign(process, {
      home,
      epochs,
      isFrozen: false,
      isDead: false,
      isLeaving: false,
    });
  }

  private createState(process: SimulatedProcess) {
    return {
      listHomeLists: () => this.lists.slice(0, process.knownLists),
      findProfile: () => PROFILE,
      computeLogAgeMs: () => 0,
    };
  }

  private createCalls(sender: SimulatedProcess) {
    return {
      sealKey: (sealRequest: KeySealRequest) =>
        this.sendSeal(sender, sealRequest),
      handOverKeys: (handOver: Parameters<KeyHome['handleKeyTransfer']>[0]) =>
        this.sendMessage(sender, handOver.to.nodeId, async process =>
          this.mutation === 'no-copies'
            ? handOver.claims.length
            : process.home.handleKeyTransfer(handOver),
        ),
    };
  }

  private sendSeal(
    sender: SimulatedProcess,
    sealRequest: KeySealRequest,
  ): Promise<KeySealReply> {
    const agreed: KeySealReply = {outcome: 'sealed', firstOpenEpoch: 0};
    const previous = this.lists[sealRequest.epoch - 2];
    const lastHome = previous && chooseHome(previous.homes, SERVICE, this.key);
    const isLast = lastHome && isSameHome(lastHome, sealRequest.home);
    if (this.mutation === 'only-last-home' && !isLast) {
      return Promise.resolve(agreed);
    }
    return this.sendMessage(sender, sealRequest.home.nodeId, process => {
      const home =
        this.mutation === 'ignore-incarnation'
          ? process.entry
          : sealRequest.home;
      return process.home.handleSeal({...sealRequest, home, waitMs: 0});
    });
  }

  /** Delivers a message and its reply at times chosen by the scheduler. */
  private sendMessage<T>(
    sender: SimulatedProcess,
    nodeId: string,
    handle: (process: SimulatedProcess) => Promise<T>,
  ): Promise<T> {
    return new Promise<T>((resolve, reject) => {
      const fail = (): void =>
        this.enqueue(sender, () => reject(new Error('simulated message loss')));
      const target = this.processes.find(
        process => process.entry.nodeId === nodeId,
      );
      if (!target || this.random() < 0.1) return fail();
      const run = (): void => {
        const isReplyLost = this.random() < 0.1;
        handle(target).then(
          reply =>
            isReplyLost ? fail() : this.enqueue(sender, () => resolve(reply)),
          fail,
        );
      };
      this.enqueue(target, run, fail);
    });
  }

  /** Runs a request at a worker, which survives the death of its node. */
  private runAtWorker(
    process: SimulatedProcess,
    copy: string,
  ): Promise<ServiceAnswer> {
    return new Promise((resolve, reject) => {
      const refuse = (verdict: Verdict): void =>
        this.enqueue(process, () =>
          reject(new RefusalError(Reason.WORKER_SHED, verdict)),
        );
      this.enqueue(undefined, () => {
        const draw = this.random();
        if (draw < 0.2) return refuse(Verdict.NOT_RUN);
        this.runs += 1;
        this.runsByCopy.set(copy, (this.runsByCopy.get(copy) ?? 0) + 1);
        if (draw < 0.3) return refuse(Verdict.MAY_HAVE_RUN);
        const held = Buffer.from(`run ${this.runs} of ${copy}`);
        this.enqueue(process, () =>
          resolve({status: 200, headers: {}, body: {held}}),
        );
      });
    });
  }
}

function flush(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
