/**
 * Requests with keys run at most once in real processes with faults: killed,
 * frozen, restarted and leaving homes, and a long outage of the log.
 */
import {afterEach, describe, expect, it} from 'vitest';
import {waitFor} from '../measure/wait-for.js';
import type {Fixture} from './deployment-fixture.js';
import {
  countRuns,
  findKeyWithHome,
  readHomes,
  sendBooking,
  sendBookings,
  startWithHomes,
  waitForHomes,
} from './key-bookings.js';

const HOSTS = ['desk-0', 'desk-1', 'desk-2'];
const NEW_BOOKINGS = 300;

describe('keys with faults', () => {
  let fixture: Fixture | undefined;

  afterEach(async () => {
    await fixture?.stop();
    fixture = undefined;
  });

  it('an outage longer than the freshness limit stops keyed work', async () => {
    fixture = await startWithHomes('3s');
    fixture.log.control.isDown = true;
    await waitFor('a home to be stale', async () => {
      const {reason} = await sendBooking(
        fixture!,
        'desk-0',
        `stale-${Math.random()}`,
      );
      return reason === 'key-home-stale';
    });
    const stale = await sendBooking(fixture, 'desk-1', 'stale');
    expect(stale).toMatchObject({verdict: 'not-run', reason: 'key-home-stale'});
    expect(countRuns(fixture, 'stale')).toBe(0);
    fixture.log.control.isDown = false;
    await waitFor('bookings to go on', async () => {
      return (await sendBooking(fixture!, 'desk-1', 'stale')).status === 200;
    });
    expect(countRuns(fixture, 'stale')).toBe(1);
  });

  it('keys of a killed home never run twice, others go on', async () => {
    fixture = await startWithHomes();
    const key = findKeyWithHome('desk-0', 'killed');
    expect((await sendBooking(fixture, 'desk-1', key)).status).toBe(200);
    const host = fixture.deployment.findHost('desk-0');
    const before = (await readHomes(fixture, 'desk-1'))!.epoch;
    await host.node!.kill();
    const others = ['desk-1', 'desk-2'];
    const during = await sendBookings(fixture, others, 'during', 50);
    await waitForHomes(fixture, 2, epoch => epoch > before);
    const resent = await sendBooking(fixture, 'desk-1', key);
    expect(resent).toMatchObject({
      verdict: 'may-have-run',
      reason: 'key-in-doubt',
    });
    const after = await sendBookings(fixture, others, 'after', NEW_BOOKINGS);
    console.log(
      `new bookings while the home is lost ${JSON.stringify(during)}, ` +
        `after the list without it ${JSON.stringify(after)}`,
    );
    expect(during.wrong + after.wrong).toBe(0);
    expect(after.ran).toBeGreaterThan(NEW_BOOKINGS / 2);
    await host.startNode();
    await waitForHomes(fixture, 3);
    const again = await sendBooking(fixture, 'desk-2', key);
    expect(again.verdict).toBe('may-have-run');
    const back = await sendBookings(fixture, HOSTS, 'back', NEW_BOOKINGS);
    console.log(`after the restart: ${JSON.stringify(back)}`);
    expect(back.wrong).toBe(0);
    expect(countRuns(fixture, key)).toBe(1);
  });

  it('a frozen home leaves doubt, and knows its keys when it wakes', async () => {
    fixture = await startWithHomes();
    const key = findKeyWithHome('desk-2', 'frozen');
    expect((await sendBooking(fixture, 'desk-0', key)).status).toBe(200);
    const {node} = fixture.deployment.findHost('desk-2');
    node!.sendSignal('SIGSTOP');
    const resent = await sendBooking(fixture, 'desk-0', key, {
      timeLimitMs: 5000,
    });
    expect(resent.verdict).toBe('may-have-run');
    node!.sendSignal('SIGCONT');
    await waitFor('the answer of the woken home', async () => {
      const {status} = await sendBooking(fixture!, 'desk-1', key);
      return status === 200;
    });
    expect(countRuns(fixture, key)).toBe(1);
  });

  it('a planned stop leaves no key in doubt', async () => {
    fixture = await startWithHomes();
    const keys = Array.from({length: 30}, (item, index) => `left-${index}`);
    for (const key of keys) await sendBooking(fixture, 'desk-1', key);
    const running = sendBookings(
      fixture,
      ['desk-1', 'desk-2'],
      'meanwhile',
      NEW_BOOKINGS,
    );
    await fixture.deployment.findHost('desk-0').node!.stop();
    const meanwhile = await running;
    console.log(`during a planned stop: ${JSON.stringify(meanwhile)}`);
    expect(meanwhile).toMatchObject({ran: NEW_BOOKINGS, wrong: 0});
    for (const key of keys) {
      const resent = await sendBooking(fixture, 'desk-2', key);
      expect(resent).toMatchObject({status: 200, isReplayed: true});
      expect(countRuns(fixture, key)).toBe(1);
    }
  });
});
