/**
 * Requests with keys run at most once in real processes without lost homes:
 * resends through any node, disconnected callers, and a short outage of the
 * log. The test upstreams count the runs of each key.
 */
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {waitFor} from '../measure/wait-for.js';
import type {Fixture} from './deployment-fixture.js';
import {
  countRuns,
  findKeyWithHome,
  sendBooking,
  sendBookings,
  startWithHomes,
} from './key-bookings.js';

const HOSTS = ['desk-0', 'desk-1', 'desk-2'];
const NEW_BOOKINGS = 300;

describe('keys with all homes available', () => {
  let fixture: Fixture;

  beforeAll(async () => {
    fixture = await startWithHomes();
  });

  afterAll(async () => {
    await fixture?.stop();
  });

  const setServiceTime = (serviceTimeMs: number): void => {
    for (const {control} of fixture.upstreams.values()) {
      control.serviceTimeMs = serviceTimeMs;
    }
  };

  it.each(HOSTS)('resends through any node of a key of %s', async home => {
    const key = findKeyWithHome(home, 'resent');
    const outcomes = [];
    for (const host of [...HOSTS, ...HOSTS]) {
      outcomes.push(await sendBooking(fixture, host, key));
    }
    expect(outcomes.map(({status}) => status)).toEqual(Array(6).fill(200));
    expect(new Set(outcomes.map(({text}) => text)).size).toBe(1);
    expect(outcomes.map(({isReplayed}) => isReplayed)).toEqual([
      false,
      ...Array(5).fill(true),
    ]);
    expect(countRuns(fixture, key)).toBe(1);
  });

  it('a resend during the original run gets its answer', async () => {
    setServiceTime(400);
    const key = findKeyWithHome('desk-0', 'running');
    const outcomes = await Promise.all(
      [...HOSTS, ...HOSTS].map(host => sendBooking(fixture, host, key)),
    );
    setServiceTime(4);
    expect(outcomes.map(({status}) => status)).toEqual(Array(6).fill(200));
    expect(new Set(outcomes.map(({text}) => text)).size).toBe(1);
    expect(countRuns(fixture, key)).toBe(1);
  });

  it.each(HOSTS)(
    'a disconnected caller of %s gets the answer on resend',
    async host => {
      setServiceTime(400);
      const key = findKeyWithHome('desk-1', `hung-up-${host}`);
      const abort = new AbortController();
      const first = sendBooking(fixture, host, key, {signal: abort.signal});
      first.catch(() => {});
      await waitFor('the run', () => countRuns(fixture, key) === 1);
      abort.abort();
      const {status} = await sendBooking(fixture, 'desk-2', key);
      setServiceTime(4);
      expect(status).toBe(200);
      expect(countRuns(fixture, key)).toBe(1);
    },
  );

  it('a key with another body is refused', async () => {
    const key = findKeyWithHome('desk-2', 'conflict');
    await sendBooking(fixture, 'desk-0', key);
    const other = await sendBooking(fixture, 'desk-1', key, {body: 'rib 8'});
    expect(other).toMatchObject({
      status: 422,
      verdict: 'not-run',
      reason: 'key-conflict',
    });
    expect(countRuns(fixture, key)).toBe(1);
  });

  it('a large body runs once, and its resend is answered', async () => {
    const key = findKeyWithHome('desk-1', 'large-body');
    const body = 'x'.repeat(1_000_000);
    const first = await sendBooking(fixture, 'desk-0', key, {body});
    expect(first.status).toBe(200);
    expect(JSON.parse(first.text)).toMatchObject({length: body.length});
    const second = await sendBooking(fixture, 'desk-0', key, {body});
    expect(second).toMatchObject({status: 200, isReplayed: true});
    expect(countRuns(fixture, key)).toBe(1);
  });

  it('an answer too large to keep is reported as such, not run again', async () => {
    for (const {control} of fixture.upstreams.values()) {
      control.answerBytes = 300_000;
    }
    const key = findKeyWithHome('desk-1', 'large-answer');
    const first = await sendBooking(fixture, 'desk-0', key);
    const second = await sendBooking(fixture, 'desk-0', key);
    for (const {control} of fixture.upstreams.values()) {
      control.answerBytes = 0;
    }
    expect(first.status).toBe(200);
    expect(second).toMatchObject({verdict: 'ran', reason: 'answer-not-kept'});
    expect(countRuns(fixture, key)).toBe(1);
  });

  it('bookings go on during an outage of the log', async () => {
    fixture.log.control.isDown = true;
    const tally = await sendBookings(fixture, HOSTS, 'outage', NEW_BOOKINGS);
    fixture.log.control.isDown = false;
    console.log(`log outage shorter than D: ${JSON.stringify(tally)}`);
    expect(tally).toEqual({
      ran: NEW_BOOKINGS,
      mayHaveRun: 0,
      notRun: 0,
      wrong: 0,
    });
  });
});
