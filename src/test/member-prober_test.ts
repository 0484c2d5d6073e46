/**
 * Outcome of a member check, by the replies of the member and the helpers.
 */
import {create} from '@bufbuild/protobuf';
import seedrandom from 'seedrandom';
import {describe, expect, it} from 'vitest';
import {MemberProber, ProbeOutcome} from '../coordination/member-prober.js';
import {MemberView, UpdateSource} from '../coordination/member-view.js';
import type {MembershipCalls} from '../coordination/membership-calls.js';
import type {Member} from '../protocol/membership_pb.js';
import {
  ExchangeMembersReplySchema,
  MemberSchema,
  MemberStatus,
  ProbeIndirectReplySchema,
  ProbeReplySchema,
} from '../protocol/membership_pb.js';

const HELPER_COUNT = 5;

interface CheckCase {
  readonly name: string;
  /** Whether the direct reply says alive; undefined when the probe fails. */
  readonly direct: boolean | undefined;
  /** Whether each helper's reply says alive; undefined when its call fails. */
  readonly helpers: boolean | undefined;
  readonly outcome: ProbeOutcome;
  /** Expected number of indirect probes. */
  readonly asked: number;
}

const checkCases: CheckCase[] = [
  {
    name: 'a direct reply sends no indirect probe',
    direct: true,
    helpers: true,
    outcome: ProbeOutcome.ALIVE,
    asked: 0,
  },
  {
    name: 'no direct reply, but helpers reach the member',
    direct: undefined,
    helpers: true,
    outcome: ProbeOutcome.ALIVE,
    asked: 3,
  },
  {
    name: 'no direct reply, and no helper reaches the member',
    direct: undefined,
    helpers: false,
    outcome: ProbeOutcome.SILENT,
    asked: 3,
  },
  {
    name: 'no reply from the member or the helpers',
    direct: undefined,
    helpers: undefined,
    outcome: ProbeOutcome.SILENT,
    asked: 3,
  },
  {
    name: 'another process at the address',
    direct: false,
    helpers: true,
    outcome: ProbeOutcome.REPLACED,
    asked: 0,
  },
];

function buildMember(index: number): Member {
  return create(MemberSchema, {
    nodeId: `node-${index}`,
    incarnation: 1,
    status: MemberStatus.ALIVE,
    peerAddress: `127.0.0.1:${7000 + index}`,
  });
}

function buildView(): MemberView {
  const view = new MemberView({
    identity: {
      nodeId: 'own',
      incarnation: 1,
      dataCentre: 'arusha',
      callerAddress: '127.0.0.1:6999',
      peerAddress: '127.0.0.1:7999',
    },
    findStateVersion: () => 0,
    handleChange: () => {},
    handleReplaced: () => {},
  });
  const members = Array.from({length: HELPER_COUNT + 1}, (unused, index) =>
    buildMember(index),
  );
  view.applyUpdates(members, UpdateSource.EXCHANGE);
  return view;
}

describe('a check of a member', () => {
  it.each(checkCases)('$name: $outcome', async checkCase => {
    const {direct, helpers, outcome, asked} = checkCase;
    let askedCount = 0;
    const calls: MembershipCalls = {
      probe: async () => {
        if (direct === undefined) throw new Error('probe timed out');
        return create(ProbeReplySchema, {alive: direct});
      },
      probeIndirect: async () => {
        askedCount += 1;
        if (helpers === undefined) throw new Error('helper timed out');
        return create(ProbeIndirectReplySchema, {alive: helpers});
      },
      exchangeMembers: async () => create(ExchangeMembersReplySchema),
    };
    const prober = new MemberProber({
      view: buildView(),
      calls,
      settings: {
        seeds: [],
        probeInterval: 500,
        probeTimeout: 200,
        suspicionTime: 2000,
      },
      random: seedrandom('prober'),
      handleReply: () => {},
    });
    expect(await prober.checkMember(buildMember(0))).toBe(outcome);
    expect(askedCount).toBe(asked);
  });
});
