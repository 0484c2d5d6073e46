/**
 * Maintains the home lists: any node that has a worker of a service may append
 * the next list, by compare-and-set on the epoch. Lost nodes are removed and
 * new nodes added after a delay. Each node waits according to a rank that all
 * nodes compute alike, so that usually only one of them writes.
 *
 * A wrong list can reduce availability but never runs a key twice: after a live
 * home is removed, later homes still ask it about its keys.
 */
import type {KeyHome, RecordOfKind} from '../protocol/records.js';
import type {HomeList} from '../state/replicated-state.js';
import type {StateStore} from '../state/state-store.js';
import type {WorkerTable} from '../state/worker-table.js';
import {computeNodeScore} from './home-choice.js';
import {isSameHome} from './home-epochs.js';
import type {NextHomeList} from './key-leave.js';
import {MAX_HOMES} from './key-leave.js';
import type {AppendRecord} from './record-publisher.js';
import {AppendOutcome, LogUnavailableError} from './record-publisher.js';

const CHECK_INTERVAL_MS = 500;
/** A longer interval between checks means that this process was frozen. */
const FREEZE_THRESHOLD_MS = 5 * CHECK_INTERVAL_MS;
/** A node is added once it has been present for this long. */
const JOIN_DELAY_MS = 1000;
/** A home is removed once it has been absent for this long. */
const LOSS_DELAY_MS = 2000;
/**
 * Replaces LOSS_DELAY_MS when most homes are absent, since this node itself may
 * be the one that is cut off.
 */
const MASS_LOSS_DELAY_MS = 15_000;
/** Minimum time between two lists when the newer only adds homes. */
const MIN_ADD_INTERVAL_MS = 2000;
/** Minimum time between two lists when the newer removes homes. */
const MIN_DROP_INTERVAL_MS = 1000;
/** Time that a node waits for each node of a lower rank to append first. */
const RANK_DELAY_MS = 300;
const MAX_RANK = 30;

/** Dependencies of a HomeListMaintainer. */
export interface HomeListMaintainerOptions {
  readonly identity: KeyHome;
  readonly state: Pick<
    StateStore,
    'listHomeLists' | 'listServices' | 'isDataCentreOut'
  >;
  readonly workers: Pick<WorkerTable, 'listWorkers'>;
  readonly appendRecord: AppendRecord;
  readonly createRecordId: () => string;
  readonly random: () => number;
  readonly count: (name: string) => void;
  readonly readClock?: () => number;
}

/** What this node has observed of one service. */
interface ServiceView {
  /** Time since which each process has been present, by process key. */
  presentSince: Map<string, number>;
  /**
   * Time since which each absent home of the newest list has been absent, by
   * process key.
   */
  absentSince: Map<string, number>;
  epoch: number;
  epochSeenAt: number;
  /** When a new list first became due in this epoch, if one is due. */
  dueSince: number | undefined;
  isAppending: boolean;
}

/** Maintains the home lists of all services on behalf of one node. */
export class HomeListMaintainer {
  private readonly views = new Map<string, ServiceView>();
  private readonly readClock: () => number;
  private timer: NodeJS.Timeout | undefined;
  private checkedAt = -Infinity;
  private isStopped = false;

  constructor(private readonly options: HomeListMaintainerOptions) {
    this.readClock = options.readClock ?? (() => performance.now());
  }

  /** Starts checking the lists of all services. */
  start(): void {
    const run = (): void => {
      this.checkAll();
      if (this.isStopped) return;
      const waitMs = CHECK_INTERVAL_MS * (0.5 + this.options.random());
      this.timer = setTimeout(run, waitMs);
      this.timer.unref();
    };
    run();
  }

  /** Stops checking, before this node leaves. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  /** Checks each service once and appends the lists that are due. */
  checkAll(): void {
    const now = this.readClock();
    // Observations from before a freeze are outdated.
    if (now - this.checkedAt > FREEZE_THRESHOLD_MS) this.views.clear();
    this.checkedAt = now;
    for (const service of this.options.state.listServices()) {
      this.check(service, now);
    }
  }

  /** Appends a list and resolves with whether it was accepted. */
  async appendList(list: NextHomeList): Promise<boolean> {
    const {identity, appendRecord, createRecordId} = this.options;
    const record: RecordOfKind<'home-list'> = {
      kind: 'home-list',
      id: createRecordId(),
      author: identity.nodeId,
      writtenAtMs: Date.now(),
      buildsOn: list.buildsOn,
      service: list.service,
      homes: [...list.homes],
      handedOver: [...list.handedOver],
    };
    return (await appendRecord(record)) === AppendOutcome.ACCEPTED;
  }

  private check(service: string, now: number): void {
    const newest = this.options.state.listHomeLists(service).at(-1);
    const view = this.updateView(service, newest, now);
    const candidates = this.listCandidates(service);
    updatePresence(view, candidates, newest?.homes ?? [], now);
    const homes = chooseNextHomes(service, view, candidates, newest, now);
    if (!homes || view.isAppending) {
      if (!homes) view.dueSince = undefined;
      return;
    }
    view.dueSince ??= now;
    const rankDelayMs =
      this.computeRank(service, view.epoch, candidates) * RANK_DELAY_MS;
    if (now - view.dueSince < rankDelayMs) return;
    void this.appendNext(service, view, homes);
  }

  private async appendNext(
    service: string,
    view: ServiceView,
    homes: readonly KeyHome[],
  ): Promise<void> {
    view.isAppending = true;
    const list = {service, buildsOn: view.epoch, homes, handedOver: []};
    try {
      const isAccepted = await this.appendList(list);
      this.options.count(isAccepted ? 'lists-appended' : 'lists-superseded');
    } catch (error) {
      if (!(error instanceof LogUnavailableError)) throw error;
      this.options.count('lists-failed');
    } finally {
      view.isAppending = false;
      view.dueSince = undefined;
    }
  }

  private updateView(
    service: string,
    newest: HomeList | undefined,
    now: number,
  ): ServiceView {
    const epoch = newest?.epoch ?? 0;
    let view = this.views.get(service);
    if (!view) {
      view = {
        presentSince: new Map(),
        absentSince: new Map(),
        epoch,
        epochSeenAt: now,
        dueSince: undefined,
        isAppending: false,
      };
      this.views.set(service, view);
    }
    if (view.epoch !== epoch) {
      view.epoch = epoch;
      view.epochSeenAt = now;
      view.dueSince = undefined;
    }
    return view;
  }

  /** Lists the processes that may be homes of a service now. */
  listCandidates(service: string): KeyHome[] {
    const {workers, state} = this.options;
    return workers
      .listWorkers(service)
      .filter(row => !state.isDataCentreOut(row.dataCentre))
      .map(({target: {nodeId, incarnation, peerAddress}}) => ({
        nodeId,
        incarnation,
        peerAddress,
      }));
  }

  /**
   * Returns how many nodes may append the next list before this one; Infinity
   * when this node is not a candidate.
   */
  private computeRank(
    service: string,
    epoch: number,
    candidates: readonly KeyHome[],
  ): number {
    const {identity} = this.options;
    if (!candidates.some(home => isSameHome(home, identity))) return Infinity;
    const text = `${service}/${epoch}`;
    const ownRank = computeNodeScore(text, identity.nodeId);
    const before = candidates.filter(
      home => computeNodeScore(text, home.nodeId) < ownRank,
    );
    return Math.min(MAX_RANK, before.length);
  }
}

function formatProcessKey({nodeId, incarnation}: KeyHome): string {
  return `${nodeId}#${incarnation}`;
}

/** Records since when processes are present and homes are absent. */
function updatePresence(
  view: ServiceView,
  candidates: readonly KeyHome[],
  homes: readonly KeyHome[],
  now: number,
): void {
  const present = new Set(candidates.map(formatProcessKey));
  const absent = homes.map(formatProcessKey).filter(name => !present.has(name));
  view.presentSince = copyTimes(view.presentSince, present, now);
  view.absentSince = copyTimes(view.absentSince, absent, now);
}

function copyTimes(
  times: ReadonlyMap<string, number>,
  names: Iterable<string>,
  now: number,
): Map<string, number> {
  const copy = new Map<string, number>();
  for (const name of names) copy.set(name, times.get(name) ?? now);
  return copy;
}

/** Returns the homes of the next list, or undefined while none is due. */
function chooseNextHomes(
  service: string,
  view: ServiceView,
  candidates: readonly KeyHome[],
  newest: HomeList | undefined,
  now: number,
): readonly KeyHome[] | undefined {
  const current = newest?.homes ?? [];
  const lost = listLostHomes(view, candidates, current, now);
  const kept = current.filter(home => !lost.includes(home));
  const added = candidates
    .filter(home => !current.some(known => isSameHome(known, home)))
    .filter(
      home =>
        now - view.presentSince.get(formatProcessKey(home))! >= JOIN_DELAY_MS,
    )
    .sort(
      (first, second) =>
        computeNodeScore(service, first.nodeId) -
        computeNodeScore(service, second.nodeId),
    )
    .slice(0, Math.max(0, MAX_HOMES - kept.length));
  const homes = [...kept, ...added];
  // The first list waits for nodes that start at the same time, since after
  // each later list homes must ask earlier homes about new keys.
  const wanted = Math.min(MAX_HOMES, candidates.length);
  if (!newest && added.length < wanted) return undefined;
  if (homes.length === 0 || lost.length + added.length === 0) return undefined;
  const minIntervalMs =
    lost.length > 0 ? MIN_DROP_INTERVAL_MS : MIN_ADD_INTERVAL_MS;
  const isTooSoon = newest && now - view.epochSeenAt < minIntervalMs;
  return isTooSoon ? undefined : homes;
}

/**
 * Returns the homes to remove: those absent for too long, and those replaced by
 * a newer incarnation of their node.
 */
function listLostHomes(
  view: ServiceView,
  candidates: readonly KeyHome[],
  current: readonly KeyHome[],
  now: number,
): readonly KeyHome[] {
  const isReplaced = (home: KeyHome): boolean =>
    candidates.some(
      candidate =>
        candidate.nodeId === home.nodeId &&
        candidate.incarnation > home.incarnation,
    );
  const absent = current.filter(home =>
    view.absentSince.has(formatProcessKey(home)),
  );
  const replaced = absent.filter(isReplaced);
  const missing = absent.filter(home => !isReplaced(home));
  const isMassLoss = missing.length * 2 > current.length;
  const delayMs = isMassLoss ? MASS_LOSS_DELAY_MS : LOSS_DELAY_MS;
  const isAbsentTooLong = (home: KeyHome): boolean =>
    now - view.absentSince.get(formatProcessKey(home))! >= delayMs;
  return [...replaced, ...missing.filter(isAbsentTooLong)];
}
