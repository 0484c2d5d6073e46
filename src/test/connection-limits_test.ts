/**
 * Bounds that follow from the memory and the descriptors of a process, and which
 * connection yields when a listener has too many.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {describe, expect, it} from 'vitest';
import {ConnectionLedger} from '../transport/limits/connection-ledger.js';
import {ConnectionSlots} from '../transport/limits/connection-slots.js';
import {computeHeldLimits} from '../transport/limits/process-limits.js';

const MIB = 1024 * 1024;
const UNKNOWN = Infinity;

interface LimitCase {
  readonly name: string;
  readonly settings: Parameters<typeof computeHeldLimits>[0];
  readonly system: number;
  readonly heldMib: number;
  readonly connectionMib: number;
  readonly callers: number;
  readonly peers: number;
  readonly others: number;
}

const LIMIT_CASES: readonly LimitCase[] = [
  {
    name: 'a usual host',
    settings: {processMemoryMb: 350, processDescriptors: 4100},
    system: 20_000,
    heldMib: 83,
    connectionMib: 16,
    callers: 1950,
    peers: 975,
    others: 121,
  },
  {
    name: 'settings that tell nothing',
    settings: {},
    system: UNKNOWN,
    heldMib: 32,
    connectionMib: 16,
    callers: 1948,
    peers: 974,
    others: 121,
  },
  {
    name: 'a system that allows fewer descriptors than the settings',
    settings: {processDescriptors: 4100},
    system: 600,
    heldMib: 32,
    connectionMib: 16,
    callers: 200,
    peers: 100,
    others: 12,
  },
  {
    name: 'a platform whose system limit is the part of files',
    settings: {processDescriptors: 4100},
    system: 200,
    heldMib: 32,
    connectionMib: 16,
    callers: 1950,
    peers: 975,
    others: 121,
  },
  {
    name: 'a process that is told none and has few descriptors',
    settings: {},
    system: 200,
    heldMib: 32,
    connectionMib: 16,
    callers: 50,
    peers: 25,
    others: 8,
  },
  {
    name: 'very little of both',
    settings: {processMemoryMb: 1, processDescriptors: 1},
    system: UNKNOWN,
    heldMib: 4,
    connectionMib: 2,
    callers: 8,
    peers: 8,
    others: 8,
  },
  {
    name: 'bounds of their own',
    settings: {
      processMemoryMb: 350,
      heldPerNode: 8 * MIB,
      heldPerConnection: 2 * MIB,
    },
    system: UNKNOWN,
    heldMib: 8,
    connectionMib: 2,
    callers: 1948,
    peers: 974,
    others: 121,
  },
];

describe('the bounds for', () => {
  it.each(LIMIT_CASES)('$name', one => {
    const limits = computeHeldLimits(one.settings, one.system);
    expect(Math.floor(limits.heldPerNode / MIB)).toBe(one.heldMib);
    expect(limits.heldPerConnection).toBe(one.connectionMib * MIB);
    const counts = ['callers', 'peers', 'metrics'].map(listener =>
      limits.findMaxConnections(listener),
    );
    expect(counts).toEqual([one.callers, one.peers, one.others]);
    const most = one.callers + one.peers + 3 * one.others;
    const {processDescriptors = UNKNOWN} = one.settings;
    if (processDescriptors > 100) expect(most).toBeLessThan(4096 - 200);
  });
});

/** What a connection has done since it was opened. */
const STATES = {
  silent: {},
  idle: {isAnswered: true},
  sending: {isPart: true},
  waiting: {},
  unread: {isUnread: true},
};

type State = keyof typeof STATES;

function createLedger(
  slots: ConnectionSlots,
  state: State,
  listener = 'callers',
): ConnectionLedger {
  const {isAnswered, isPart, isUnread}: Record<string, boolean> = STATES[state];
  const socket = {writableLength: isUnread ? 1 : 0} as Socket;
  const ledger = new ConnectionLedger(socket, listener, 0);
  slots.add(ledger);
  if (state === 'silent') return ledger;
  const message = {rawHeaders: [], complete: !isPart};
  const response = {req: message, closed: isAnswered ?? false};
  ledger.add(
    message as unknown as IncomingMessage,
    response as unknown as ServerResponse,
  );
  slots.recordRequest(ledger);
  return ledger;
}

const YIELD_CASES: ReadonlyArray<[State[], number]> = [
  [['waiting', 'silent', 'silent'], 1],
  [['idle', 'silent'], 1],
  [['waiting', 'idle', 'idle'], 1],
  [['idle', 'sending'], 0],
  [['waiting', 'sending', 'idle'], 1],
  [['waiting', 'unread', 'unread'], 1],
  [['unread', 'idle'], 1],
];

// Guards against a listener at which silent clients keep out all others.
describe('when a listener is full', () => {
  it.each(YIELD_CASES)('of %s, number %i yields', (states, index) => {
    const slots = new ConnectionSlots(() => states.length);
    const ledgers = states.map(state => createLedger(slots, state));
    const next = new ConnectionLedger({} as Socket, 'callers', 0);
    expect(slots.add(next)).toBe(ledgers[index]);
  });

  it('the newest yields if all others wait for their answers', () => {
    const slots = new ConnectionSlots(() => 2);
    createLedger(slots, 'waiting');
    createLedger(slots, 'waiting');
    const next = new ConnectionLedger({} as Socket, 'callers', 0);
    expect(slots.add(next)).toBe(next);
  });

  it('other listeners are not', () => {
    const slots = new ConnectionSlots(() => 1);
    createLedger(slots, 'silent');
    const next = new ConnectionLedger({} as Socket, 'peers', 0);
    expect(slots.add(next)).toBeUndefined();
  });
});

/** The connection that yields; undefined for the newest one. */
const PEER_CASES: ReadonlyArray<[State[], number | undefined]> = [
  [['idle', 'silent'], 1],
  [['idle', 'sending'], 1],
  [['idle', 'unread'], 1],
  [['idle', 'idle'], undefined],
  [['idle', 'waiting'], undefined],
];

// Guards against idle connections that close under the next request of another
// node, whose outcome is then unknown.
describe('when the listener for peers is full', () => {
  it.each(PEER_CASES)('of %s, number %s yields', (states, index) => {
    const slots = new ConnectionSlots(() => states.length);
    const ledgers = states.map(state => createLedger(slots, state, 'peers'));
    const next = new ConnectionLedger({} as Socket, 'peers', 0);
    const yielding = index === undefined ? next : ledgers[index];
    expect(slots.add(next)).toBe(yielding);
  });
});

describe('a connection closes after its answer', () => {
  it.each([
    {listener: 'peers', count: 6, isToClose: false},
    {listener: 'peers', count: 7, isToClose: true},
    {listener: 'callers', count: 8, isToClose: false},
  ])('of $listener with $count of 8: $isToClose', row => {
    const {listener, count, isToClose} = row;
    const slots = new ConnectionSlots(() => 8);
    const ledgers = Array.from({length: count}, () =>
      createLedger(slots, 'waiting', listener),
    );
    expect(slots.isToClose(ledgers[0]!)).toBe(isToClose);
  });
});
