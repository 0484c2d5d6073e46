/**
 * Head-of-line blocking under load, without a network: several requests of one
 * connection, the first of which is not answered within its caller's time limit.
 */
import {EventEmitter} from 'node:events';
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {CallerConnection} from '../transport/caller-connection.js';

const TIME_LIMIT_MS = 1500;
/** Time that an answer takes to its caller, well below the margin. */
const ONE_WAY_MS = 10;

/** The part of a response that a connection uses. */
class TestResponse extends EventEmitter {
  headersSent = false;
  shouldKeepAlive = true;
  writableFinished = false;
}

class TestSocket extends EventEmitter {
  destroyed = false;
  readonly pause = vi.fn();
  readonly resume = vi.fn();
}

beforeEach(() => {
  vi.useFakeTimers({toFake: ['setTimeout', 'clearTimeout', 'performance']});
});

afterEach(() => {
  vi.useRealTimers();
});

/** Serves requests that are answered after a time; reports when each ended. */
function runCaller(serviceTimesMs: readonly number[]): {
  readonly endedAt: number[];
  readonly isGivenUp: boolean[];
} {
  const socket = new TestSocket();
  const connection = new CallerConnection(
    socket as unknown as Socket,
    () => {},
  );
  const endedAt: number[] = serviceTimesMs.map(() => Infinity);
  const isGivenUp: boolean[] = serviceTimesMs.map(() => false);
  const ready = new Map<number, TestResponse>();
  let next = 0;
  const sendReady = (): void => {
    for (let sent = ready.get(next); sent; sent = ready.get(next)) {
      endedAt[next] = performance.now();
      next += 1;
      sent.writableFinished = true;
      sent.emit('close');
    }
  };
  for (const [index, serviceTimeMs] of serviceTimesMs.entries()) {
    const response = new TestResponse();
    const asResponse = response as unknown as ServerResponse;
    connection.accept(asResponse, abort => {
      connection.watchTimeLimit(asResponse, TIME_LIMIT_MS);
      const end = (): void => {
        response.headersSent = true;
        ready.set(index, response);
        sendReady();
      };
      const timer = setTimeout(end, serviceTimeMs);
      abort.signal.addEventListener('abort', () => {
        clearTimeout(timer);
        isGivenUp[index] = true;
        end();
      });
    });
  }
  vi.advanceTimersByTime(3 * TIME_LIMIT_MS);
  return {endedAt, isGivenUp};
}

describe('requests of one connection', () => {
  const cases = [
    {
      name: 'a slow first one is given up in time for the answers behind it',
      serviceTimesMs: [5000, 300, 300],
      isGivenUp: [true, false, false],
      inTime: [true, true, true],
    },
    {
      name: 'two slow ones are given up in time for the answer behind them',
      serviceTimesMs: [5000, 5000, 300],
      isGivenUp: [true, true, false],
      inTime: [true, true, true],
    },
    {
      name: 'a slow last one has all of its time',
      serviceTimesMs: [300, 1490],
      isGivenUp: [false, false],
      inTime: [true, true],
    },
    {
      name: 'a slow one alone has all of its time',
      serviceTimesMs: [5000],
      isGivenUp: [false],
      inTime: [false],
    },
  ];
  // Guards against callers that lose ready answers because the request before
  // them runs until they give it up and close the connection.
  it.each(cases)('$name', ({serviceTimesMs, isGivenUp, inTime}) => {
    const caller = runCaller(serviceTimesMs);
    expect(caller.isGivenUp).toEqual(isGivenUp);
    expect(caller.endedAt.map(at => at + ONE_WAY_MS <= TIME_LIMIT_MS)).toEqual(
      inTime,
    );
  });
});

/** Kinds of requests sent at once; `safe` ones are idempotent. */
type Kind = 'safe' | 'unsafe';

const repeatKind = (kind: Kind, count: number): Kind[] =>
  Array.from({length: count}, () => kind);

const MARK_CASES: ReadonlyArray<{
  readonly name: string;
  readonly kinds: readonly Kind[];
  /** How many requests yield to those of others. */
  readonly bulk: number;
}> = [
  {name: 'one that is safe', kinds: ['safe'], bulk: 0},
  {name: 'one that is unsafe', kinds: ['unsafe'], bulk: 0},
  {name: 'eight that are safe', kinds: repeatKind('safe', 8), bulk: 0},
  {
    name: 'safe ones behind an unsafe one',
    kinds: ['unsafe', ...repeatKind('safe', 7)],
    bulk: 0,
  },
  {name: 'four that are unsafe', kinds: repeatKind('unsafe', 4), bulk: 0},
  {name: 'eight that are unsafe', kinds: repeatKind('unsafe', 8), bulk: 7},
  {
    name: 'an unsafe one behind safe ones',
    kinds: [...repeatKind('safe', 5), 'unsafe', 'safe', 'safe'],
    bulk: 3,
  },
];

// Guards against requests that callers may send ahead and that then wait behind
// all others, whatever their priority.
describe('of requests sent at once on one connection', () => {
  it.each(MARK_CASES)('$name: $bulk yield to others', ({kinds, bulk}) => {
    const socket = new TestSocket() as unknown as Socket;
    const connection = new CallerConnection(socket, () => {});
    const responses = kinds.map(
      () => new TestResponse() as unknown as ServerResponse,
    );
    for (const response of responses) connection.accept(response, () => {});
    const marks = responses.map((response, index) =>
      connection.markStarted(response, kinds[index] === 'safe'),
    );
    expect(marks.filter(Boolean).length).toBe(bulk);
  });
});
