/**
 * The connection between entry and gate is reset in the middle of an answer,
 * with real node processes. A caller may get the whole answer, from a second
 * try, or one that can't be taken for complete.
 */
import {afterAll, afterEach, beforeAll, describe, expect, it} from 'vitest';
import {waitFor} from '../measure/wait-for.js';
import {computeLocalAddress, startFixture} from './deployment-fixture.js';
import type {Fixture} from './deployment-fixture.js';
import {createLinkFaults} from './stand-ins/fault-proxy.js';
import {RawCaller} from './stand-ins/raw-caller.js';

const ENTRY = 'desk-0';
const ANSWER_BYTES = 400_000;
const UPLOAD_BYTES = 900_000;
const UPLOAD_PART = 'u'.repeat(16 * 1024);
const FIRST_PARTS = 12;
const FLOW_INTERVAL_MS = 4;
const FLOW_PARTS = 30;

/** Bytes of a gate's answer before the reset: in its head, held, passed on. */
const CUTS = [60, 30_000, 100_000];

const CALLS = [
  {call: 'a lookup', request: 'GET /kona-desk/tickets/1', upload: 0},
  {call: 'an upload', request: 'PUT /kona-desk/photos/1', upload: UPLOAD_BYTES},
  {
    call: 'a booking with an upload',
    request: 'POST /kona-desk/bookings',
    upload: UPLOAD_BYTES,
  },
];

const ROWS = ['1.1', '1.0'].flatMap(version =>
  (version === '1.0' ? [true] : [false, true]).flatMap(isChunking =>
    CALLS.flatMap(call =>
      CUTS.map(cutAfterBytes => ({
        ...call,
        version,
        isChunking,
        cutAfterBytes,
        answer: isChunking ? 'in chunks' : 'with a length',
      })),
    ),
  ),
);

let fixture: Fixture;
let caller: RawCaller | undefined;

beforeAll(async () => {
  fixture = await startFixture({
    workers: 2,
    hasPeerProxies: true,
    control: {answerBytes: ANSWER_BYTES},
  });
});

afterEach(() => caller?.close());
afterAll(() => fixture?.stop());

function findCallerAddress(): string {
  return fixture.deployment.findHost(ENTRY).callerAddress;
}

/** Sets the faults of the entry's connections to all gates, its own too. */
function setCut(cutAfterBytes: number): void {
  for (const proxy of fixture.peerProxies.values()) {
    const faults = createLinkFaults();
    faults.toClient.cutAfterBytes = cutAfterBytes;
    proxy.faultsBySource.set(computeLocalAddress(0), faults);
  }
}

function isWhole(body: string): boolean {
  try {
    const {padding} = JSON.parse(body) as {padding: string};
    return padding.length === ANSWER_BYTES;
  } catch {
    return false;
  }
}

// Guards against an entry that takes the reset of a gate's connection for the
// end of its answer, or passes it on as one.
describe('an answer whose gate is cut off', () => {
  it.each(ROWS)(
    '$call, HTTP/$version, $answer, after $cutAfterBytes bytes',
    async ({request, upload, version, isChunking, cutAfterBytes}) => {
      await waitFor('a served lookup', async () => {
        const url = `http://${findCallerAddress()}/kona-desk/tickets/0`;
        const response = await fetch(url);
        return isWhole(await response.text());
      });
      for (const {control} of fixture.upstreams.values())
        control.isChunking = isChunking;
      setCut(cutAfterBytes);
      const head = `host: node\r\ncontent-length: ${upload}\r\n\r\n`;
      const address = findCallerAddress();
      caller = new RawCaller(address, `${request} HTTP/${version}\r\n${head}`);
      if (upload > 0) {
        caller.write(UPLOAD_PART.repeat(FIRST_PARTS));
        const restBytes = upload - UPLOAD_PART.length * FIRST_PARTS;
        const part = UPLOAD_PART.slice(0, restBytes / FLOW_PARTS);
        caller.writeRegularly(part, FLOW_INTERVAL_MS, FLOW_PARTS);
      }
      const call = caller;
      await waitFor('the end of the answer', () => call.isDone);
      setCut(Infinity);
      const {status, body, isComplete} = call.answer;
      if (isComplete && status < 300) expect(isWhole(body)).toBe(true);
      else if (isComplete) expect([502, 504]).toContain(status);
      else expect(isWhole(body)).toBe(false);
      const host = fixture.deployment.findHost(ENTRY);
      expect(await host.readStatus()).toBeDefined();
    },
  );
});
