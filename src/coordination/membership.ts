/**
 * Membership: nodes find each other from the seeds and exchange descriptions.
 * It fills the worker table and proves nobody dead.
 */
import {create} from '@bufbuild/protobuf';
import type {Announcement} from '../protocol/announcement.js';
import type {Member} from '../protocol/membership_pb.js';
import {
  MemberSchema,
  MemberStatus,
  WorkerSchema,
} from '../protocol/membership_pb.js';
import type {NodeIdentity} from '../protocol/node-identity.js';
import type {NodeSettings} from '../protocol/settings.js';
import type {WorkerState} from '../protocol/worker-load.js';
import type {NodeDescription, WorkerTable} from '../state/worker-table.js';

/** Calls to other nodes that membership makes; the transport implements it. */
export interface MembershipCalls {
  exchangeMembers(peerAddress: string, members: Member[]): Promise<Member[]>;
}

/** What membership works with. */
export interface MembershipOptions {
  readonly identity: NodeIdentity;
  readonly settings: NodeSettings['membership'];
  readonly workers: WorkerTable;
  readonly calls: MembershipCalls;
  readonly random: () => number;
}

/** Membership of one node. */
export class Membership {
  private readonly members = new Map<string, Member>();
  private self: Member;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: MembershipOptions) {
    const {identity} = options;
    this.self = create(MemberSchema, {
      nodeId: identity.nodeId,
      incarnation: identity.incarnation,
      status: MemberStatus.ALIVE,
      peerAddress: identity.peerAddress,
      callerAddress: identity.callerAddress,
      dataCentre: identity.dataCentre,
    });
    this.applyMember(this.self);
  }

  /** Starts finding and probing other nodes. */
  start(): void {
    const run = async (): Promise<void> => {
      await this.askSeeds();
      const {probeInterval} = this.options.settings;
      this.timer = setTimeout(() => void run(), probeInterval);
    };
    void run();
  }

  /** Stops probing. */
  stop(): void {
    clearTimeout(this.timer);
  }

  /** Tells others of a change of this node's own workers. */
  updateWorkers(announcements: readonly Announcement[]): void {
    this.self = create(MemberSchema, {
      ...this.self,
      sequence: this.self.sequence + 1,
      workers: announcements.map(({service, version, slots, state}) =>
        create(WorkerSchema, {service, version, slots, state}),
      ),
    });
    this.applyMember(this.self);
  }

  /** Tells others that this node is leaving; it gets no new work. */
  async leave(): Promise<void> {
    this.self = create(MemberSchema, {
      ...this.self,
      sequence: this.self.sequence + 1,
      status: MemberStatus.LEAVING,
    });
    this.applyMember(this.self);
    await this.askSeeds();
  }

  /** Answers another node's exchange. */
  handleExchange(members: readonly Member[]): Member[] {
    for (const member of members) this.applyMember(member);
    return [...this.members.values()];
  }

  private async askSeeds(): Promise<void> {
    const {settings, identity, calls} = this.options;
    const others = settings.seeds.filter(seed => seed !== identity.peerAddress);
    await Promise.allSettled(
      others.map(async seed => {
        const theirs = await calls.exchangeMembers(seed, [
          ...this.members.values(),
        ]);
        this.handleExchange(theirs);
      }),
    );
  }

  private applyMember(member: Member): void {
    const known = this.members.get(member.nodeId);
    if (known && !isNewer(member, known)) return;
    this.members.set(member.nodeId, member);
    const {workers} = this.options;
    if (member.status === MemberStatus.ALIVE) {
      workers.update(toNodeDescription(member));
    } else {
      workers.remove(member.nodeId);
    }
  }
}

function isNewer(member: Member, known: Member): boolean {
  if (member.incarnation !== known.incarnation) {
    return member.incarnation > known.incarnation;
  }
  return member.sequence > known.sequence;
}

function toNodeDescription(member: Member): NodeDescription {
  return {
    nodeId: member.nodeId,
    incarnation: member.incarnation,
    peerAddress: member.peerAddress,
    dataCentre: member.dataCentre,
    workers: member.workers.map(worker => ({
      service: worker.service,
      version: worker.version,
      slots: worker.slots,
      state: worker.state as WorkerState,
    })),
  };
}
