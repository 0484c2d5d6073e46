/**
 * Membership by probing in the manner of SWIM: in each period one member is
 * probed, changes ride on probes and replies, and a silent member is suspected
 * before it is held dead. The cost per node does not grow with the number of
 * nodes. It fills the worker table; nothing safe depends on its being right.
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

/** Periods from one comparison of tables to the next. */
const EXCHANGE_PERIODS = 20;
/** Time for which dead members are remembered and retried. */
const DEAD_RETENTION_MS = 600_000;
/** Members that are told at once of a changed description. */
const PUSH_FANOUT = 4;
/** Members that a leaving node tells itself. */
const LEAVE_FANOUT = 16;
/** Changes within this time ride on one push. */
const PUSH_GAP_MS = 50;
/** Share by which periods vary, so that nodes do not probe in step. */
const PERIOD_JITTER = 0.2;

/** What membership works with. */
export interface MembershipOptions {
  readonly identity: NodeIdentity;
  readonly settings: NodeSettings['membership'];
  readonly workers: WorkerTable;
  readonly calls: MembershipCalls;
  readonly random: () => number;
  /** Version of the folded state that this node has applied. */
  readonly findStateVersion: () => number;
  /** Age of this node's newest confirmation of the log's tail. */
  readonly computeLogAgeMs: () => number;
  /** Told of a peer's confirmation, with its age as of now at most. */
  readonly recordLogConfirmation: (ageMs: number) => void;
}

interface MembershipEvents {
  /** A peer has applied a higher version of the folded state. */
  versionSeen: {readonly peerAddress: string; readonly version: number};
  /** The process at an address is gone, leaving or replaced by another. */
  nodeLost: {readonly peerAddress: string};
  /** A later process with this node's id was heard of. */
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
   * Begins to probe and joins the other nodes; resolves when each seed has
   * answered or been given up.
   */
  async join(): Promise<void> {
    this.scheduleNextPeriod();
    const addresses = this.listLostAddresses();
    await Promise.all(addresses.map(address => this.exchange.run(address)));
  }

  /** Stops probing. */
  stop(): void {
    clearTimeout(this.periodTimer);
    clearTimeout(this.pushTimer);
  }

  /** All members that this node knows of, itself and dead ones included. */
  listMembers(): Member[] {
    return this.view.table.list();
  }

  /** Picks some of the other nodes that are alive or merely suspected. */
  pickPeers(count: number): Member[] {
    return pickRandom(this.view.listActivePeers(), count, this.options.random);
  }

  /** Tells others of a change of this node's own workers. */
  updateWorkers(announcements: readonly Announcement[]): void {
    const workers = announcements.map(({service, version, slots, state}) =>
      create(WorkerSchema, {service, version, slots, state}),
    );
    const {self} = this.view;
    if (formatWorkers(workers) === formatWorkers(self.workers)) return;
    this.view.updateSelf({workers});
  }

  /** Tells others that this node is leaving; it gets no new work. */
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

  /** Answers another node's exchange. */
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

  /** Asks one suspected member again, so that it can refute at once. */
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

  /** Now and then compares tables with one member and retries a lost one. */
  private runExchanges(): void {
    const {random} = this.options;
    const isAlone = this.view.listPeers().length === 0;
    if (!isAlone && this.period % EXCHANGE_PERIODS !== 0) return;
    const lost = pickRandom(this.listLostAddresses(), 1, random);
    const peers = this.pickPeers(1).map(({peerAddress}) => peerAddress);
    for (const address of [...peers, ...lost]) void this.exchange.run(address);
  }

  /** Seeds and dead members' addresses at which nobody is known to live. */
  private listLostAddresses(): string[] {
    const {settings} = this.options;
    const dead = this.view.table.listByStatus(MemberStatus.DEAD);
    const addresses = new Set([
      ...settings.seeds,
      ...dead.map(({peerAddress}) => peerAddress),
    ]);
    return [...addresses].filter(
      address => !this.view.table.hasLiving(address),
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
    const isLost = known !== undefined && !(isSameProcess && isUsable(member));
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

  /** Passes a changed description on at once, to a few members. */
  private schedulePush(): void {
    this.pushTimer ??= setTimeout(() => {
      this.pushTimer = undefined;
      for (const peer of this.pickPeers(PUSH_FANOUT)) {
        void this.prober.probe(peer);
      }
    }, PUSH_GAP_MS);
  }

  private handleReply(
    peerAddress: string,
    reply: ProbeReply,
    elapsedMs: number,
  ): void {
    this.observeVersion(peerAddress, reply.stateVersion);
    // A node that has applied less than the peer is not as fresh as the peer.
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
  [ProbeOutcome.UNCLEAR]: () => {},
  [ProbeOutcome.REPLACED]: (view, member) =>
    view.markMember(member, MemberStatus.DEAD),
  [ProbeOutcome.SILENT]: (view, member) =>
    // A member that had said it is leaving has left.
    view.markMember(
      member,
      member.status === MemberStatus.LEAVING
        ? MemberStatus.DEAD
        : MemberStatus.SUSPECT,
    ),
};

/** Whether a member may be sent attempts. */
function isUsable(member: Member): boolean {
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
