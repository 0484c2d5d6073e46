/**
 * Stand-ins for the cases 6 to 10: the platform's store, workers, callers and
 * the processes of the nodes. Each machine of a small deployment has a loopback
 * address of its own; ports are the same on all machines. Nodes are started
 * with the command and the settings template of the deploy file.
 */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer, request as sendRequest} from 'node:http';
import {connect, createServer as createTcpServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join, resolve} from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {fileURLToPath, URL} from 'node:url';
import {parse} from 'smol-toml';

export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '..');
export const HOST = 'desk.example';
export const SERVICE = 'desk';
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Bounds of `sites/kona-mwavuli.toml`, as its settings have them. */
const BOUNDS = {
  seed_lag_s: 3,
  reuse_after_s: 2,
  settle_window_ms: 3000,
  ack_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 6,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
  rollback_slack_ms: 250,
  max_skew_ms: 5000,
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  budget_extra: 60,
  expose_share: 0.1,
  expose_slack: 50,
  rollback_ms: 5000,
  cold_over: 1.5,
  cold_slack: 5,
  evac_ms: 5000,
  recover_s: 15,
  probes_per_s: 60,
};
const HEARTBEAT_MS = 1500;
const METRICS_PORT = 9464;

export const sleep = ms => new Promise(done => setTimeout(done, ms));

/** Waits until a condition holds; throws after the time limit. */
export async function waitUntil(what, condition, limitMs = 20_000) {
  const end = Date.now() + limitMs;
  while (!(await condition())) {
    if (Date.now() > end) throw new Error(`no ${what} after ${limitMs} ms`);
    await sleep(20);
  }
}

/** What was sent, answered and run, with milliseconds since the start. */
export class Journal {
  startedAt = performance.now();
  lines = [];

  now() {
    return Math.round(performance.now() - this.startedAt);
  }

  add(kind, fields = {}) {
    const line = {ms: this.now(), kind, ...fields};
    this.lines.push(line);
    return line;
  }

  write(folder) {
    const text = this.lines.map(line => JSON.stringify(line)).join('\n');
    writeFileSync(join(folder, 'record.txt'), `${text}\n`);
  }
}

/** The store: keyed topics of one partition, by the calls that nodes make. */
export class Store {
  topics = new Map();
  server = createServer((message, response) => {
    response.on('error', () => {});
    this.serve(message, response).catch(() => response.destroy());
  });

  async start(address) {
    await startListening(this.server, address);
  }

  /** Appends a record as the operator does; no value deletes the key. */
  write(topicName, key, value) {
    this.append(
      topicName,
      key,
      value === undefined ? '' : JSON.stringify(value),
    );
  }

  find(name) {
    if (!this.topics.has(name))
      this.topics.set(name, {records: [], waiting: new Set()});
    return this.topics.get(name);
  }

  append(name, key, value) {
    const topic = this.find(name);
    topic.records.push({key, value});
    for (const wake of [...topic.waiting]) wake();
  }

  async serve(message, response) {
    const url = new URL(message.url, 'http://store');
    const {searchParams: query} = url;
    const name = query.get('topic') ?? '';
    const body = await readBody(message);
    const topic = this.find(name);
    const end = topic.records.length;
    if (url.pathname === '/v1/log-append') {
      const at = query.get('at');
      if (name === 'keyed.op' || name === 'keyed.servers')
        return sendJson(response, 403, {});
      if (at !== null && Number(at) !== end)
        return sendJson(response, 412, {end});
      const keyEnd = 5 + body.readUInt8(4);
      this.append(
        name,
        body.subarray(5, keyEnd).toString(),
        body.subarray(keyEnd).toString(),
      );
      return sendJson(response, 200, {offset: end, end: end + 1});
    }
    if (url.pathname === '/v1/log-newest') {
      const newest = new Map();
      topic.records.forEach(({key, value}, offset) =>
        newest.set(key, {
          key,
          value: Buffer.from(value).toString('base64'),
          offset,
        }),
      );
      const items = [...newest.values()].filter(({value}) => value !== '');
      return sendJson(response, 200, {items, more: false, end});
    }
    if (url.pathname !== '/v1/log-read') return sendJson(response, 404, {});
    const from = Number(query.get('from'));
    if (from > end) return sendJson(response, 410, {first: 0});
    if (from === end)
      await this.waitForRecord(topic, Number(query.get('wait_ms') ?? 0));
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(topic.records.length), 0);
    const records = topic.records.slice(from).map(encodeRecord);
    response.end(Buffer.concat([head, ...records]));
    return undefined;
  }

  waitForRecord(topic, limitMs) {
    return new Promise(done => {
      const wake = () => {
        clearTimeout(timer);
        topic.waiting.delete(wake);
        done();
      };
      const timer = setTimeout(wake, limitMs);
      topic.waiting.add(wake);
    });
  }
}

function encodeRecord({key, value}) {
  const content = Buffer.concat([
    Buffer.from([Buffer.byteLength(key)]),
    Buffer.from(key),
    Buffer.from(value),
  ]);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(content.length, 0);
  return Buffer.concat([length, content]);
}

async function readBody(message) {
  const parts = [];
  for await (const part of message) parts.push(part);
  return Buffer.concat(parts);
}

function sendJson(response, status, value) {
  const text = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

function startListening(server, address) {
  const [host, port] = address.split(':');
  return new Promise((done, fail) => {
    server.once('error', fail);
    server.listen(Number(port), host, done);
  });
}

/** A sound worker: slots, a short queue, load, health and check-ins. */
export class Worker {
  slots = 6;
  queueLength = 12;
  workMs = 100;
  state = 'ready';
  coldUntil = 0;
  running = 0;
  waiting = [];
  sequence = 0;
  runs = [];
  startCount = 0;
  sockets = new Set();

  constructor(machine, journal) {
    this.machine = machine;
    this.journal = journal;
  }

  async start() {
    this.startCount += 1;
    this.id = `i-${this.machine.name}-${this.startCount}`;
    this.born = Date.now();
    this.sequence = 0;
    this.state = 'ready';
    this.server = createServer({keepAliveTimeout: 10_000}, (message, answer) =>
      this.serve(message, answer),
    );
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
    await startListening(this.server, this.machine.workerAddress);
    this.isUp = true;
    void this.reportRegularly();
  }

  /** Ends at once, like a crashed process. */
  async crash() {
    this.isUp = false;
    clearTimeout(this.timer);
    const {server} = this;
    for (const socket of this.sockets) socket.resetAndDestroy();
    this.waiting = [];
    this.running = 0;
    await new Promise(done => server.close(done));
  }

  async reportRegularly() {
    await this.report();
    if (!this.isUp) return;
    this.timer = setTimeout(() => void this.reportRegularly(), HEARTBEAT_MS);
  }

  buildReport() {
    this.sequence += 1;
    return {
      service: this.machine.service,
      address: this.machine.workerAddress,
      zone: this.machine.zone,
      version: this.machine.version ?? 'v1',
      slots: this.slots,
      state: this.state,
      cold_remaining_ms: Math.max(0, this.coldUntil - Date.now()),
      sequence: this.sequence,
      born: this.born,
    };
  }

  report(body = this.buildReport()) {
    return this.notify('heartbeat', body);
  }

  notify(name, body) {
    const path = `/v1/instances/${this.id}/${name}`;
    return call(this.machine.controlAddress, 'POST', path, 1000, body);
  }

  buildHeaders(id) {
    const load = `${this.running},${this.waiting.length},${this.slots},100`;
    return {
      'sequoiaspool-server-load': load,
      'sequoiaspool-instance-id': this.id,
      ...(id === undefined ? {} : {'sequoiaspool-attempt-id': id}),
    };
  }

  serve(message, response) {
    response.on('error', () => {});
    message.on('error', () => {});
    const id = message.headers['sequoiaspool-attempt-id'];
    const headers = this.buildHeaders(id);
    if (message.url === '/healthz') {
      const coldMs = Math.max(0, this.coldUntil - Date.now());
      if (coldMs > 0) headers['sequoiaspool-cold-ms'] = String(coldMs);
      response.writeHead(this.state === 'ready' ? 200 : 503, headers).end();
      return;
    }
    this.journal.add('arrive', {
      worker: this.id,
      id,
      path: message.url,
      remaining: message.headers['sequoiaspool-deadline-remaining-ms'],
      caller: message.headers['sequoiaspool-caller-service'],
    });
    const target = message.headers['sequoiaspool-target-instance'];
    if (target !== undefined && target !== this.id) {
      this.refuse(message, response, 421, headers);
      return;
    }
    if (id === undefined) {
      this.refuse(message, response, 400, headers);
      return;
    }
    const start = () => void this.run(id, message, response);
    if (this.running < this.slots) start();
    else if (this.waiting.length < this.queueLength) this.waiting.push(start);
    else this.refuse(message, response, 503, headers);
  }

  refuse(message, response, status, headers) {
    message.resume();
    response
      .writeHead(status, {
        ...headers,
        'sequoiaspool-not-executed': '1',
        'content-length': '0',
      })
      .end();
  }

  async run(id, message, response) {
    if (response.destroyed) {
      this.startNext();
      return;
    }
    this.running += 1;
    const run = this.journal.add('run', {
      worker: this.id,
      id,
      method: message.method,
      path: message.url,
    });
    this.runs.push({id, run});
    try {
      const body = await readBody(message);
      const outcome = await Promise.race([
        this.work(id, message, body).then(result => ({result})),
        new Promise(done => response.once('close', () => done(undefined))),
      ]);
      if (outcome === undefined) this.journal.add('dropped', {id});
      else this.answer(id, response, outcome.result);
    } catch (error) {
      this.journal.add('cut', {id, detail: String(error)});
      response.destroy();
    }
    this.running -= 1;
    this.startNext();
  }

  startNext() {
    this.waiting.shift()?.();
  }

  /** Does the work of a request; returns the body of its answer. */
  async work(id, message, body) {
    await sleep(this.workMs);
    return JSON.stringify({id, path: message.url, size: body.length});
  }

  answer(id, response, text) {
    if (response.destroyed) return;
    response.writeHead(200, {
      ...this.buildHeaders(id),
      'sequoiaspool-response-signature': `signed-${id}`,
      'content-length': String(Buffer.byteLength(text)),
    });
    response.end(text);
    this.journal.add('worked', {worker: this.id, id});
  }
}

/** A process of a node, as the deploy file runs it. */
export class NodeProcess {
  output = '';

  constructor(settingsFile) {
    const {roles} = parse(
      readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'),
    );
    const [program, ...words] = roles.node.run.split(' ');
    const path = program === 'node' ? process.execPath : program;
    const {PATH, HOME, LANG} = process.env;
    this.child = spawn(path, words, {
      cwd: ROOT,
      env: {PATH, HOME, LANG, SEQUOIASPOOL_NODE_FILE: settingsFile},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const keep = part => (this.output = (this.output + part).slice(-400_000));
    this.child.stdout.on('data', keep);
    this.child.stderr.on('data', keep);
    this.ended = new Promise(done =>
      this.child.once('exit', (code, signal) => {
        this.end = {code, signal};
        done(this.end);
      }),
    );
  }

  send(signal) {
    if (this.end === undefined) this.child.kill(signal);
  }
}

/** A small deployment: one store and some machines. */
export class Deployment {
  journal = new Journal();
  store = new Store();
  machines = [];
  processes = [];
  folder = mkdtempSync(join(tmpdir(), 'review-'));
  version = 0;

  /** @param machines zone and service of each machine. */
  async start(machines, options = {}) {
    this.options = options;
    // One network of loopback addresses for each run, so that runs side by
    // side use different ones.
    const net = `127.${20 + (process.pid % 200)}.${1 + ((process.pid >> 8) % 250)}`;
    const base = await findFreePorts(`${net}.1`, 12);
    this.storeAddress = `${net}.250:${base}`;
    await this.store.start(this.storeAddress);
    this.publish();
    machines.forEach((machine, index) => {
      const ip = `${net}.${index + 1}`;
      const created = {
        name: `sidecar-${machine.zone}-${index + 1}`,
        service: SERVICE,
        ...machine,
        ip,
        base,
        workerAddress: `${ip}:${base + 7}`,
        controlAddress: `${ip}:${base + 6}`,
        callerAddress: `${ip}:${base + 1}`,
        readyAddress: `${ip}:${base}`,
      };
      created.worker = new Worker(created, this.journal);
      created.settingsFile = this.writeSettings(created);
      this.machines.push(created);
    });
    for (const machine of this.machines) {
      await machine.worker.start();
      this.startNode(machine);
    }
    await this.waitUntilReady();
  }

  publish(change = {}) {
    this.version += 1;
    const {routes = {}, services = [], limits = {}} = this.options;
    this.store.write('keyed.op', 'config', {
      version: `r${this.version}`,
      routes: [
        {
          name: 'lookups',
          host: HOST,
          path_prefix: '/lookups/',
          kind: 'idempotent',
          timeout_ms: 2000,
          target_latency_ms: 800,
          max_attempts: 2,
          priority: 1,
          service: SERVICE,
          ...routes,
        },
        {
          name: 'bookings',
          host: HOST,
          path_prefix: '/bookings/',
          kind: 'non_idempotent',
          timeout_ms: 2000,
          target_latency_ms: 800,
          max_attempts: 2,
          priority: 0,
          service: SERVICE,
          ...routes,
        },
        ...(change.routes ?? []),
      ],
      services: [
        {
          name: SERVICE,
          health_path: '/healthz',
          max_connections: 240,
          protocol: 'h1',
          tls: false,
          cold_start_s: 3.0,
          cold_per_s: 5.7,
        },
        ...services,
      ],
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 67_108_864,
        header_timeout_ms: 3000,
        idle_timeout_ms: 15_000,
        ...limits,
      },
    });
  }

  /** Fills in the template of the deploy file. */
  writeSettings({name, zone, service, ip, base, workerAddress}) {
    const fields = {
      node_name: name,
      zone,
      service,
      ip,
      app_address: workerAddress,
      port_range: [base + 8, base + 11],
      listen: {
        ready: `${ip}:${base}`,
        outbound: `${ip}:${base + 1}`,
        inbound: `${ip}:${base + 5}`,
        control: `${ip}:${base + 6}`,
      },
      platform: {address: this.storeAddress},
      bounds: {...BOUNDS, ...this.options.bounds},
      heartbeat_ms: HEARTBEAT_MS,
    };
    const template = readFileSync(
      join(ROOT, 'deploy/node.template.toml'),
      'utf8',
    );
    const file = join(this.folder, `${name}.toml`);
    writeFileSync(file, renderTemplate(template, fields));
    return file;
  }

  startNode(machine) {
    machine.node = new NodeProcess(machine.settingsFile);
    this.processes.push(machine.node);
    const {node} = machine;
    this.journal.add('node started', {machine: machine.name});
    void node.ended.then(end =>
      this.journal.add('node ended', {machine: machine.name, ...end}),
    );
    return node;
  }

  async waitUntilReady(machines = this.machines) {
    await waitUntil('ready nodes', async () => {
      const states = await Promise.all(machines.map(isReady));
      return states.every(Boolean);
    });
  }

  async stop(folder) {
    for (const {worker} of this.machines) worker.isUp = false;
    for (const node of this.processes) node.send('SIGKILL');
    await Promise.all(this.processes.map(node => node.ended));
    this.journal.write(folder);
    rmSync(this.folder, {recursive: true, force: true});
  }
}

export async function isReady({readyAddress}) {
  return (await call(readyAddress, 'GET', '/v1/readyz', 500)) === 200;
}

/** Makes a call on a new connection; returns the status, 0 if there is none. */
function call(address, method, path, limitMs, body) {
  const [host, port] = address.split(':');
  return new Promise(done => {
    const options = {host, port, method, path, timeout: limitMs, agent: false};
    const headers = {'content-type': 'application/json'};
    const message = sendRequest({...options, headers}, reply => {
      reply.resume();
      reply.once('end', () => done(reply.statusCode));
      reply.once('error', () => done(0));
    });
    message.once('timeout', () => message.destroy());
    message.once('error', () => done(0));
    message.end(body === undefined ? '' : JSON.stringify(body));
  });
}

function renderTemplate(template, fields) {
  const find = path =>
    path.split('.').reduce((value, key) => value?.[key], fields);
  return template
    .replace(
      /\{\{(#|\^)([\w.]+)\}\}\n?([\s\S]*?)\{\{\/\2\}\}\n?/g,
      (match, kind, path, text) => {
        const value = find(path);
        const isPresent = value !== undefined && value !== false;
        return isPresent === (kind === '#') ? text : '';
      },
    )
    .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (match, path, json) => {
      const value = find(path) ?? '';
      return json ? JSON.stringify(value) : String(value);
    });
}

/** Finds a run of ports that are free, and the metrics port beside them. */
async function findFreePorts(host, count) {
  for (let attempt = 0; attempt < 50; attempt++) {
    const base = 12_000 + Math.floor(Math.random() * 15_000);
    const ports = Array.from({length: count}, (unused, index) => base + index);
    const states = await Promise.all(
      [METRICS_PORT, ...ports].map(port => isFree(host, port)),
    );
    if (states.every(Boolean)) return base;
  }
  throw new Error('no free ports');
}

function isFree(host, port) {
  return new Promise(done => {
    const server = createTcpServer();
    server.once('error', () => done(false));
    server.listen(port, host, () => server.close(() => done(true)));
  });
}

/**
 * A connection of a caller. It sends requests, several of them before earlier
 * ones are answered if so told, and takes the answers in their order.
 */
export class CallerConnection {
  answers = [];
  parts = [];
  /** Bytes of the answer that is being read. */
  received = 0;
  /** Bytes that the answer has at least. */
  needed = 0;
  isClosed = false;
  /** Whether an answer said that the connection closes. */
  isClosing = false;

  constructor(address, journal, name = 'caller') {
    const [host, port] = address.split(':');
    this.name = name;
    this.journal = journal;
    this.socket = connect({host, port: Number(port), noDelay: true});
    this.socket.on('data', part => this.read(part));
    this.socket.on('error', error => (this.error = error.code));
    this.closed = new Promise(done =>
      this.socket.once('close', () => {
        this.isClosed = true;
        journal.add('connection closed', {name, error: this.error});
        done();
      }),
    );
    /** Whether the connection was established. */
    this.opened = new Promise(done => {
      this.socket.once('connect', () => done(true));
      this.socket.once('close', () => done(false));
    });
  }

  /** Sends requests in one write; each is {id, method, path, limitMs, body}. */
  send(requests) {
    let text = '';
    for (const {id, method = 'GET', path, limitMs = 2000, body} of requests) {
      const length =
        body === undefined ? '' : `Content-Length: ${body.length}\r\n`;
      text +=
        `${method} ${path} HTTP/1.1\r\nHost: ${HOST}\r\n` +
        `Sequoiaspool-Attempt-Id: ${id}\r\n` +
        `Sequoiaspool-Deadline-Remaining-Ms: ${limitMs}\r\n${length}\r\n` +
        (body ?? '');
      this.journal.add('send', {name: this.name, id, method, path});
    }
    this.socket.write(text);
  }

  read(part) {
    this.parts.push(part);
    this.received += part.length;
    while (this.received > 0 && this.received >= this.needed) {
      const text = Buffer.concat(this.parts);
      this.parts = [text];
      const end = text.indexOf('\r\n\r\n');
      if (end < 0) return;
      const head = text.subarray(0, end).toString('latin1');
      const find = name =>
        new RegExp(`^${name}: *(.*)$`, 'im').exec(head)?.[1].trim();
      const length = Number(find('content-length') ?? 0);
      this.needed = end + 4 + length;
      if (text.length < this.needed) return;
      const body = text.subarray(end + 4, this.needed).toString();
      this.parts = [text.subarray(this.needed)];
      this.received = text.length - this.needed;
      this.needed = 0;
      const answer = {
        status: Number(head.split(' ')[1]),
        id: find('sequoiaspool-attempt-id'),
        signature: find('sequoiaspool-response-signature'),
        closes: find('connection')?.toLowerCase() === 'close',
        body,
      };
      this.isClosing ||= answer.closes;
      this.answers.push(answer);
      this.journal.add('answer', {
        name: this.name,
        id: answer.id,
        status: answer.status,
        closes: answer.closes,
        body: body.slice(0, 120),
      });
    }
  }

  /** Waits for a number of answers in all, or for the end. */
  async waitForAnswers(count, limitMs) {
    const end = performance.now() + limitMs;
    while (
      this.answers.length < count &&
      !this.isClosed &&
      performance.now() < end
    )
      await sleep(5);
  }
}

/**
 * Runs a case: `check` gets a deployment, returns the breaches of the rule and
 * throws if the case couldn't run.
 */
export async function runCase(folder, check) {
  const deployment = new Deployment();
  let status = 2;
  const limit = setTimeout(
    () => {
      process.stdout.write('not run: longer than 110 s\n');
      for (const node of deployment.processes) node.send('SIGKILL');
      deployment.journal.write(folder);
      process.exit(2);
    },
    (Number(process.env.CASE_LIMIT_S) || 110) * 1000,
  );
  try {
    const breaches = await check(deployment);
    status = breaches.length > 0 ? 1 : 0;
    for (const breach of breaches) deployment.journal.add('breach', {breach});
    const text = breaches.length > 0 ? breaches.join('\n') : 'rule held';
    process.stdout.write(`${text}\n`);
  } catch (error) {
    process.stdout.write(`not run: ${error.stack}\n`);
    for (const {output} of deployment.processes)
      deployment.journal.add('output', {output: output.slice(-2000)});
  }
  await deployment.stop(folder);
  clearTimeout(limit);
  process.exit(status);
}
