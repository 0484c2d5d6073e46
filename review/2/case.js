/**
 * A machine stands still for some seconds while requesters have connections to
 * it that they have not used yet, and send bookings on them meanwhile. A booking
 * that is answered 408 must not run.
 */
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {
  BOUNDS,
  buildConfiguration,
  runCase,
  wait,
  waitFor,
} from '../stand-ins.js';

const SERVICE = 'desk';
const ZONES = ['dsm', 'aru', 'mwz'];
const MACHINES = 10;
const HOST = 'desk.example';
const ROUNDS = 5;
const REQUESTERS = 10;
/** Requesters connect so long before the machine stands still. */
const CONNECTED_BEFORE_MS = 300;
/** Time from the freeze to the bookings; the head is sent within 3 s. */
const SENT_AFTER_MS = 2000;
const FROZEN_MS = 3500;
const DEADLINE_MS = 2000;
/** Statuses that promise that a request has not run and never will. */
const PROMISES = [408, 421, 429, 503];

/** A requester that opens its connection before it has a request. */
class Requester {
  constructor(record, machine, id) {
    this.record = record;
    this.machine = machine;
    this.id = id;
    this.text = '';
  }

  async open() {
    const [host, port] = this.machine.outbound.split(':');
    this.socket = connect(Number(port), host);
    this.socket.on('data', bytes => (this.text += bytes.toString('latin1')));
    this.socket.on('error', () => {});
    await new Promise(resolve => this.socket.once('connect', resolve));
    this.openedAt = this.record.now();
  }

  send() {
    const body = Buffer.from('one booking');
    this.record.write('sends', {
      id: this.id,
      machine: this.machine.options.name,
      openForMs: Math.round(this.record.now() - this.openedAt),
    });
    const lines = [
      'POST /bookings/1 HTTP/1.1',
      `Host: ${HOST}`,
      `Sequoiaspool-Attempt-Id: ${this.id}`,
      `Sequoiaspool-Deadline-Remaining-Ms: ${DEADLINE_MS}`,
      `Content-Length: ${body.length}`,
    ];
    this.socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`);
  }

  finish() {
    const [, status] = /^HTTP\/1\.1 (\d+)/.exec(this.text) ?? [];
    this.status = Number(status ?? 0);
    this.socket.destroy();
    this.record.write('answered', {id: this.id, status: this.status});
  }
}

await runCase(import.meta.url, async (deployment, record, hasTrouble) => {
  await deployment.startStore();
  deployment.store.write(
    'config',
    buildConfiguration(
      1,
      [SERVICE],
      [
        {
          name: 'bookings',
          path_prefix: '/bookings/',
          kind: 'non_idempotent',
          service: SERVICE,
        },
      ],
    ),
  );
  for (let index = 0; index < MACHINES; index++) {
    await deployment.addMachine({
      name: `m${index}`,
      zone: ZONES[index % ZONES.length],
      service: SERVICE,
    });
  }
  const {machines, workers} = deployment;
  await deployment.waitUntilReady();
  await waitFor('served bookings', async () => {
    await wait(300);
    const answers = await Promise.all(
      machines.map(machine =>
        machine.call({
          method: 'POST',
          path: '/bookings/0',
          host: HOST,
          deadlineMs: DEADLINE_MS,
        }),
      ),
    );
    return answers.every(({status}) => status === 200);
  });
  await wait(BOUNDS.settle_window_ms);

  const [machine] = machines;
  const requesters = [];
  for (let round = 0; round < ROUNDS; round++) {
    const opened = Array.from(
      {length: REQUESTERS},
      (_, index) => new Requester(record, machine, `b${round}-${index}`),
    );
    requesters.push(...opened);
    await Promise.all(opened.map(requester => requester.open()));
    await wait(CONNECTED_BEFORE_MS);
    if (hasTrouble) machine.signal('SIGSTOP');
    await wait(SENT_AFTER_MS);
    for (const requester of opened) requester.send();
    await wait(FROZEN_MS - SENT_AFTER_MS);
    if (hasTrouble) machine.signal('SIGCONT');
    await wait(SENT_AFTER_MS + DEADLINE_MS - FROZEN_MS);
    for (const requester of opened) requester.finish();
    await wait(BOUNDS.settle_window_ms);
  }

  const runs = workers.flatMap(worker => worker.runs);
  const refused = requesters.filter(({status}) => PROMISES.includes(status));
  const false408 = refused.filter(({id}) => runs.some(run => run.id === id));
  for (const {id, status} of false408)
    record.write('refused-and-ran', {id, status});
  const served = requesters.filter(({status}) => status === 200).length;
  return {
    isBroken: false408.length > 0,
    text:
      `of ${requesters.length} bookings ${served} were answered 200 and ` +
      `${refused.length} were refused; ${false408.length} of the refused ones ran`,
  };
});
