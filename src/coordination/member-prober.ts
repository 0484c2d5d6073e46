/**
 * Failure detector for single members. Probes a member directly and, when that
 * fails, through a few helpers, so that one bad network path or one stalled
 * connection does not make a member suspect.
 */
import {create} from '@bufbuild/protobuf';
import type {Member, ProbeReply} from '../protocol/membership_pb.js';
import {
  ProbeIndirectRequestSchema,
  ProbeRequestSchema,
} from '../protocol/membership_pb.js';
import type {NodeSettings} from '../protocol/settings.js';
import {pickRandom} from './member-order.js';
import type {MemberView} from './member-view.js';
import {UpdateSource} from './member-view.js';
import type {MembershipCalls} from './membership-calls.js';

/** Number of helpers that probe a member on this node's behalf. */
const INDIRECT_PROBE_COUNT = 3;
/**
 * Timeout of an indirect probe as a multiple of the probe timeout: one for the
 * helper's own probe and one for the round trip to the helper.
 */
const INDIRECT_TIMEOUT_FACTOR = 2;
/**
 * A check that ends later than its timeouts by more than this shows that this
 * process was paused.
 */
const PAUSE_THRESHOLD_MS = 250;

/** Result of a check of a member. */
export const ProbeOutcome = {
  ALIVE: 'alive',
  /** Neither the direct probe nor an indirect one succeeded. */
  SILENT: 'silent',
  /** Another process answers at the member's address. */
  REPLACED: 'replaced',
  /** This process was paused meanwhile, so missing replies prove nothing. */
  INCONCLUSIVE: 'inconclusive',
} as const;

export type ProbeOutcome = (typeof ProbeOutcome)[keyof typeof ProbeOutcome];

/** Dependencies and settings of a prober. */
export interface MemberProberOptions {
  readonly view: MemberView;
  readonly calls: MembershipCalls;
  readonly settings: NodeSettings['membership'];
  readonly random: () => number;
  /** Called with each reply and the time since its request. */
  readonly handleReply: (
    peerAddress: string,
    reply: ProbeReply,
    elapsedMs: number,
  ) => void;
}

/** Address and id of a node to probe. */
export type ProbeTarget = Pick<Member, 'nodeId' | 'peerAddress'>;

/** Probes other nodes. */
export class MemberProber {
  constructor(private readonly options: MemberProberOptions) {}

  /** Checks one member directly and, when that fails, through helpers. */
  async checkMember(member: Member): Promise<ProbeOutcome> {
    const startedAt = performance.now();
    const direct = await this.probe(member);
    if (direct)
      return direct.alive ? ProbeOutcome.ALIVE : ProbeOutcome.REPLACED;
    if (await this.probeIndirectly(member)) return ProbeOutcome.ALIVE;
    return this.isOverdue(startedAt)
      ? ProbeOutcome.INCONCLUSIVE
      : ProbeOutcome.SILENT;
  }

  /** Probes a node directly. Resolves with undefined when the call fails. */
  async probe(target: ProbeTarget): Promise<ProbeReply | undefined> {
    const {view, calls, settings} = this.options;
    const request = create(ProbeRequestSchema, {
      fromNodeId: view.self.nodeId,
      targetNodeId: target.nodeId,
      updates: view.takeUpdates(target.nodeId),
      stateVersion: view.self.stateVersion,
    });
    const {probeTimeout} = settings;
    const startedAt = performance.now();
    try {
      const reply = await calls.probe(
        target.peerAddress,
        request,
        probeTimeout,
      );
      view.applyUpdates(reply.updates, UpdateSource.GOSSIP);
      const elapsedMs = performance.now() - startedAt;
      this.options.handleReply(target.peerAddress, reply, elapsedMs);
      return reply;
    } catch {
      return undefined;
    }
  }

  private async probeIndirectly(target: Member): Promise<boolean> {
    const {view, random} = this.options;
    const others = view
      .listActivePeers()
      .filter(member => member.nodeId !== target.nodeId);
    const helpers = pickRandom(others, INDIRECT_PROBE_COUNT, random);
    const answers = await Promise.all(
      helpers.map(helper => this.sendIndirectProbe(helper, target)),
    );
    return answers.includes(true);
  }

  private async sendIndirectProbe(
    helper: Member,
    target: Member,
  ): Promise<boolean> {
    const {calls, settings} = this.options;
    const request = create(ProbeIndirectRequestSchema, {
      targetNodeId: target.nodeId,
      targetPeerAddress: target.peerAddress,
    });
    try {
      const reply = await calls.probeIndirect(
        helper.peerAddress,
        request,
        INDIRECT_TIMEOUT_FACTOR * settings.probeTimeout,
      );
      return reply.alive;
    } catch {
      return false;
    }
  }

  private isOverdue(startedAt: number): boolean {
    const {probeTimeout} = this.options.settings;
    const expectedMs = (1 + INDIRECT_TIMEOUT_FACTOR) * probeTimeout;
    const elapsedMs = performance.now() - startedAt;
    return elapsedMs > expectedMs + PAUSE_THRESHOLD_MS;
  }
}
