/**
 * SWIM-style membership. In each period one member is probed; changes are
 * piggybacked on probes and replies; a member that does not reply is suspected
 * before it is declared dead. The cost per node does not grow with the number
 * of nodes. Membership fills the worker table; a wrong view affects routing
 * only, not safety.
 */
import {create} from '@bufbuild/protobuf';
import Emittery from 'emittery';
import type {Announcement} from '../protocol/announcement.js';
import type {
  ExchangeMembersReply,
  ExchangeMembersRequest,
  Member,
  ProbeIndirectReply,
  ProbeIndirectRequest,
  ProbeReply,
  ProbeRequest,
  Worker,
} from '../protocol/membership_pb.js';
import {
  MemberStatus,
  ProbeIndirectReplySchema,
  ProbeReplySchema,
  WorkerSchema,
} from '../protocol/membership_pb.js';
import type {NodeIdentity} from '../protocol/node-identity.js';
import type {NodeSettings} from '../protocol/settings.js';
import type {WorkerTable} from '../state/worker-table.js';
import {updateWorkerTable} from './member-description.js';
import {MemberExchange} from './member-exchange.js';
import {pickRandom, ProbeOrder} from './member-order.js';
import {MemberProber, ProbeOutcome} from './member-prober.js';
import {computeSuspicionPeriods, Suspicions} from './member-suspicion.js';
import type {MemberChange} from './member-view.js';
import {MemberView, UpdateSource} from './member-view.js';
import type {MembershipCalls} from './membership-calls.js';

/** Number of periods between two table exchanges. */
const EXCHANGE_INTERVAL_PERIODS = 20;
/** Time for which dead members stay in the table and are retried. */
const DEAD_RETENTION_MS = 600_000;
/** Number of members to which a changed description is pushed at once. */
const PUSH_FANOUT = 4;
/** Number of members that a leaving node notifies directly. */
const LEAVE_FANOUT = 16;
/** Delay of a push, so that changes within this time share it. */
const PUSH_DELAY_MS = 50;
/** Relative spread of period lengths, which keeps nodes from synchronising. */
const PERIOD_JITTER = 0.2;

/** Dependencies and settings of membership. */
export interface MembershipOptions {
  readonly identity: NodeIdentity;
  readonly settings: NodeSettings['membership'];
  readonly workers: WorkerTable;
  readonly calls: MembershipCalls;
  readonly random: () => number;
  /** Returns the version of the replicated state applied on this node. */
  readonly findStateVersion: () => number;
  /**
   * Returns the age of this node's latest confirmation that it had read the log
   * up to its tail, in milliseconds.
   */
  readonly computeLogAgeMs: () => number;
  /**
   * Called with an upper bound of the age of a peer's confirmation of the log's
   * tail, in milliseconds.
   */
  readonly recordLogConfirmation: (ageMs: number) => void;
}

interface MembershipEvents {
  /** A peer has applied a higher version of the replicated state. */
  versionSeen: {readonly peerAddress: string; readonly version: number};
  /** The process at an address is dead, leaving or replaced by another. */
  nodeLost: {readonly peerAddress: string};
  /** A later process with this node's id exists. */
  replaced: {readonly peerAddress: string};
}

/** Membership of one node. */
export class Membership {
  readonly events = new Emittery<MembershipEvents>();
  private readonly view: MemberView;
  private readonly prober: MemberProber;
  private readonly exchange: MemberExchange;
  private readonly order: ProbeOrder;
  private readonly suspicions = new Suspicions();
  private period = 0;
  private periodTimer: NodeJS.Timeout | undefined;
  private pushTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: MembershipOptions) {
    const {identity, calls, settings, random} = options;
    this.view = new MemberView({
      identity,
      findStateVersion: options.findStateVersion,
      handleChange: change => this.handleChange(change),
      handleReplaced: ({peerAddress}) =>
        void this.events.emit('replaced', {peerAddress}),
    });
    this.prober = new MemberProber({
      view: this.view,
      calls,
      settings,
      random,
      handleReply: (peerAddress, reply, elapsedMs) =>
        this.handleReply(peerAddress, reply, elapsedMs),
    });
    this.exchange = new MemberExchange(this.view, calls);
    this.order = new ProbeOrder(random);
    updateWorkerTable(options.workers, this.view.self);
  }

  /**
   * Starts probing and exchanges tables with the seeds. Resolves when each
   * exchange has succeeded or failed.
   */
  async join(): Promise<void> {
    this.scheduleNextPeriod();
    const addresses = this.listRetryAddresses();
    await Promise.all(addresses.map(address => this.exchange.run(address)));
  }

  /** Stops probing. */
  stop(): void {
    clearTimeout(this.periodTimer);
    clearTimeout(this.pushTimer);
  }

  /** Returns all known members, including this node and dead ones. */
  listMembers(): Member[] {
    return this.view.table.list();
  }

  /** Picks up to `count` random other nodes that are alive or suspected. */
  pickPeers(count: number): Member[] {
    return pickRandom(this.view.listActivePeers(), count, this.options.random);
  }

  /** Publishes this node's workers when they have changed. */
  updateWorkers(announcements: readonly Announcement[]): void {
    const workers = announcements.map(({service, version, slots, state}) =>
      create(WorkerSchema, {service, version, slots, state}),
    );
    const {self} = this.view;
    if (formatWorkers(workers) === formatWorkers(self.workers)) return;
    this.view.updateSelf({workers});
  }

  /** Announces that this node is leaving, so that it gets no new work. */
  async leave(): Promise<void> {
    this.view.updateSelf({status: MemberStatus.LEAVING});
    const peers = this.pickPeers(LEAVE_FANOUT);
    await Promise.all(peers.map(peer => this.prober.probe(peer)));
  }

  /** Answers another node's probe. */
  handleProbe(request: ProbeRequest): ProbeReply {
    const {view, options} = this;
    const {fromNodeId, targetNodeId, stateVersion} = request;
    view.applyUpdates(request.updates, UpdateSource.GOSSIP);
    this.observeVersion(view.table.find(fromNodeId)?.peerAddress, stateVersion);
    const updates = view.takeUpdates(fromNodeId);
    const alive = targetNodeId === view.self.nodeId;
    return create(ProbeReplySchema, {
      alive,
      updates: alive ? updates : [view.self, ...updates],
      stateVersion: view.self.stateVersion,
      logFreshnessMs: options.computeLogAgeMs(),
    });
  }

  /** Probes a node on behalf of another. */
  async handleProbeIndirect(
    request: ProbeIndirectRequest,
  ): Promise<ProbeIndirectReply> {
    const reply = await this.prober.probe({
      nodeId: request.targetNodeId,
      peerAddress: request.targetPeerAddress,
    });
    return create(ProbeIndirectReplySchema, {alive: reply?.alive ?? false});
  }

  /** Answers another node's table exchange. */
  handleExchange(request: ExchangeMembersRequest): ExchangeMembersReply {
    return this.exchange.answer(request);
  }

  private scheduleNextPeriod(): void {
    const {settings, random} = this.options;
    const jitter = 1 + PERIOD_JITTER * (random() - 0.5);
    this.periodTimer = setTimeout(
      () => this.runPeriod(),
      settings.probeInterval * jitter,
    );
  }

  private runPeriod(): void {
    this.period += 1;
    this.scheduleNextPeriod();
    this.expireSuspicions();
    this.view.table.expireDead(performance.now() - DEAD_RETENTION_MS);
    void this.checkNextMember();
    void this.checkSuspect();
    this.runExchanges();
  }

  private async checkNextMember(): Promise<void> {
    const nodeIds = this.view.listPeers().map(({nodeId}) => nodeId);
    const nodeId = this.order.takeNext(new Set(nodeIds));
    if (nodeId !== undefined) await this.checkMember(nodeId);
  }

  /** Probes a random suspected member, so that it can refute at once. */
  private async checkSuspect(): Promise<void> {
    const {random} = this.options;
    const [nodeId] = pickRandom(this.suspicions.list(), 1, random);
    const member = nodeId && this.view.table.find(nodeId);
    if (member) await this.prober.probe(member);
  }

  private async checkMember(nodeId: string): Promise<void> {
    const member = this.view.table.find(nodeId)!;
    const outcome = await this.prober.checkMember(member);
    const isUnchanged = this.view.table.find(nodeId) === member;
    if (isUnchanged) OUTCOME_HANDLERS[outcome](this.view, member);
  }

  private expireSuspicions(): void {
    for (const nodeId of this.suspicions.takeExpired(this.period)) {
      const member = this.view.table.find(nodeId);
      if (member?.status !== MemberStatus.SUSPECT) continue;
      this.view.markMember(member, MemberStatus.DEAD);
    }
  }

  /**
   * Exchanges tables with one peer and retries one address without a live
   * member: every `EXCHANGE_INTERVAL_PERIODS`, or in each period without peers.
   */
  private runExchanges(): void {
    const {random} = this.options;
    const hasNoPeers = this.view.listPeers().length === 0;
    if (!hasNoPeers && this.period % EXCHANGE_INTERVAL_PERIODS !== 0) return;
    const retryAddresses = pickRandom(this.listRetryAddresses(), 1, random);
    const peers = this.pickPeers(1).map(({peerAddress}) => peerAddress);
    for (const address of [...peers, ...retryAddresses])
      void this.exchange.run(address);
  }

  /** Returns addresses of seeds and dead members that have no live member. */
  private listRetryAddresses(): string[] {
    const {settings} = this.options;
    const dead = this.view.table.listByStatus(MemberStatus.DEAD);
    const addresses = new Set([
      ...settings.seeds,
      ...dead.map(({peerAddress}) => peerAddress),
    ]);
    return [...addresses].filter(
      address => !this.view.table.hasLivingMember(address),
    );
  }

  private handleChange({member, known}: MemberChange): void {
    const {nodeId, peerAddress, status} = member;
    updateWorkerTable(this.options.workers, member);
    if (status === MemberStatus.SUSPECT) {
      this.suspicions.start(nodeId, this.computeSuspicionEnd());
    } else {
      this.suspicions.clear(nodeId);
    }
    const isOther = nodeId !== this.options.identity.nodeId;
    const isSameProcess = known?.incarnation === member.incarnation;
    const isLost =
      known !== undefined && !(isSameProcess && isRoutable(member));
    if (isOther && isLost) {
      void this.events.emit('nodeLost', {peerAddress});
    }
    const isSameDescription =
      isSameProcess && known.sequence === member.sequence;
    if (!isSameDescription) this.schedulePush();
  }

  private computeSuspicionEnd(): number {
    const {suspicionTime, probeInterval} = this.options.settings;
    const {size} = this.view.table;
    return (
      this.period + computeSuspicionPeriods(suspicionTime, probeInterval, size)
    );
  }

  /** Schedules probes of a few members that carry a changed description. */
  private schedulePush(): void {
    this.pushTimer ??= setTimeout(() => {
      this.pushTimer = undefined;
      for (const peer of this.pickPeers(PUSH_FANOUT)) {
        void this.prober.probe(peer);
      }
    }, PUSH_DELAY_MS);
  }

  private handleReply(
    peerAddress: string,
    reply: ProbeReply,
    elapsedMs: number,
  ): void {
    this.observeVersion(peerAddress, reply.stateVersion);
    // The peer's confirmation covers log records not yet applied on this node.
    if (reply.stateVersion > this.options.findStateVersion()) return;
    const ageMs = reply.logFreshnessMs + elapsedMs;
    if (Number.isFinite(ageMs)) this.options.recordLogConfirmation(ageMs);
  }

  private observeVersion(
    peerAddress: string | undefined,
    version: number,
  ): void {
    if (peerAddress === undefined) return;
    if (version <= this.options.findStateVersion()) return;
    void this.events.emit('versionSeen', {peerAddress, version});
  }
}

type HandleOutcome = (view: MemberView, member: Member) => void;

const OUTCOME_HANDLERS: Readonly<Record<ProbeOutcome, HandleOutcome>> = {
  [ProbeOutcome.ALIVE]: () => {},
  [ProbeOutcome.INCONCLUSIVE]: () => {},
  [ProbeOutcome.REPLACED]: (view, member) =>
    view.markMember(member, MemberStatus.DEAD),
  [ProbeOutcome.SILENT]: (view, member) =>
    // A leaving member that no longer replies has left.
    view.markMember(
      member,
      member.status === MemberStatus.LEAVING
        ? MemberStatus.DEAD
        : MemberStatus.SUSPECT,
    ),
};

/** Returns whether attempts may be routed to a member. */
function isRoutable(member: Member): boolean {
  const {status} = member;
  return status === MemberStatus.ALIVE || status === MemberStatus.SUSPECT;
}

function formatWorkers(workers: readonly Worker[]): string {
  return workers
    .map(worker =>
      [worker.service, worker.version, worker.slots, worker.state].join(' '),
    )
    .sort()
    .join('\n');
}
