/**
 * Stand-ins for the users' platform on loopback, for the cases of this review:
 * its store, workers, requesters and the machines that run the shipped node.
 * They do only what the users' pages say. Everything that they see is written
 * to the record of the case.
 */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {createHash, randomBytes, randomInt} from 'node:crypto';
import {
  mkdtempSync,
  openSync,
  readFileSync,
  renameSync,
  rmSync,
  writeFileSync,
  writeSync,
} from 'node:fs';
import {Agent, createServer, request} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {fileURLToPath, URL} from 'node:url';

const ROOT = dirname(dirname(fileURLToPath(import.meta.url)));
const LOOPBACK = '127.0.0.1';

/** Bounds and rates of a small deployment, as its site file has them. */
export const BOUNDS = {
  settle_window_ms: 3000,
  drain_ms: 2000,
  grace_s: 6,
  config_apply_ms: 2000,
  retry_budget_ratio: 0.2,
  budget_extra: 60,
  expose_share: 0.1,
  probes_per_s: 60,
};
export const HEARTBEAT_MS = 1500;
const KEEP_S = 20;

export const wait = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Waits for a condition; throws when it does not come true in time. */
export async function waitFor(what, isTrue, limitMs = 20_000) {
  const endsAt = performance.now() + limitMs;
  while (!(await isTrue())) {
    if (performance.now() > endsAt) throw new Error(`no ${what} in time`);
    await wait(20);
  }
}

/** Below the ephemeral ports, which outgoing connections take at any time. */
const FIRST_PORT = 11_000;
const LAST_PORT = 31_000;
const handedOut = new Set();

/** Finds ports that are free now and that this process hands out once. */
export async function findPorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port = randomInt(FIRST_PORT, LAST_PORT);
    if (handedOut.has(port) || !(await isFree(port))) continue;
    handedOut.add(port);
    ports.push(port);
  }
  return ports;
}

function isFree(port) {
  return new Promise(resolve => {
    const server = createTcpServer();
    server.once('error', () => resolve(false));
    server.listen(port, LOOPBACK, () => server.close(() => resolve(true)));
  });
}

async function readBody(message) {
  const chunks = [];
  for await (const chunk of message) chunks.push(chunk);
  return Buffer.concat(chunks);
}

function sendJson(response, status, value, headers = {}) {
  const body = Buffer.from(JSON.stringify(value));
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': body.length,
    ...headers,
  });
  response.end(body);
}

/** What was sent, answered and run, with the time since the start. */
export class Record {
  constructor(file) {
    this.file = openSync(file, 'w');
    this.startedAt = performance.now();
  }

  now() {
    return performance.now() - this.startedAt;
  }

  write(what, values = {}) {
    const at = (this.now() / 1000).toFixed(3).padStart(8);
    const fields = Object.entries(values).map(([key, value]) => {
      const text = typeof value === 'object' ? JSON.stringify(value) : value;
      return `${key}=${text}`;
    });
    writeSync(this.file, `${[at, what, ...fields].join(' ')}\n`);
  }
}

/** The platform's store: keyed topics with one partition. */
export class Store {
  constructor(record) {
    this.record = record;
    this.topics = new Map();
    this.server = createServer((message, response) => {
      response.on('error', () => {});
      this.serve(message, response).catch(() => response.destroy());
    });
  }

  async start(port) {
    await new Promise(resolve => this.server.listen(port, LOOPBACK, resolve));
    this.address = `${LOOPBACK}:${port}`;
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes a record as the operator does; no value removes the key. */
  write(key, value) {
    const text = value === undefined ? '' : JSON.stringify(value);
    this.record.write('operator-writes', {key, value: text});
    this.append('keyed.op', key, Buffer.from(text));
  }

  /** Returns the newest value of a key that the system has written. */
  read(topicName, key) {
    const found = this.listNewest(topicName).find(item => item.key === key);
    return found && JSON.parse(found.value.toString());
  }

  findTopic(name) {
    let topic = this.topics.get(name);
    if (!topic) this.topics.set(name, (topic = {records: [], waiting: []}));
    return topic;
  }

  append(name, key, value) {
    const topic = this.findTopic(name);
    topic.records.push({key, value, at: performance.now()});
    for (const wake of topic.waiting.splice(0)) wake();
  }

  listNewest(name) {
    const newest = new Map();
    this.findTopic(name).records.forEach(({key, value}, offset) => {
      newest.set(key, {key, value, offset});
    });
    return [...newest.values()]
      .filter(({value}) => value.length > 0)
      .sort((one, other) => (one.key < other.key ? -1 : 1));
  }

  async serve(message, response) {
    const url = new URL(message.url, `http://${LOOPBACK}`);
    const name = url.searchParams.get('topic');
    const body = await readBody(message);
    if (url.pathname === '/v1/log-append')
      this.serveAppend(url.searchParams, name, body, response);
    else if (url.pathname === '/v1/log-read')
      await this.serveRead(url.searchParams, name, response);
    else if (url.pathname === '/v1/log-newest')
      this.serveNewest(url.searchParams, name, response);
    else sendJson(response, 404, {});
  }

  serveAppend(query, name, body, response) {
    if (name === 'keyed.op' || name === 'keyed.servers') {
      sendJson(response, 403, {});
      return;
    }
    const {records} = this.findTopic(name);
    const offset = records.length;
    if (query.has('at') && Number(query.get('at')) !== offset) {
      sendJson(response, 412, {end: offset});
      return;
    }
    for (let at = 0; at < body.length;) {
      const length = body.readUInt32BE(at);
      const content = body.subarray(at + 4, at + 4 + length);
      const keyEnd = 1 + content.readUInt8(0);
      const key = content.subarray(1, keyEnd).toString();
      if (name === 'keyed.status')
        this.record.write('system-writes', {
          key,
          value: content.subarray(keyEnd).toString(),
        });
      this.append(name, key, Buffer.from(content.subarray(keyEnd)));
      at += 4 + length;
    }
    sendJson(response, 200, {offset, end: records.length});
  }

  async serveRead(query, name, response) {
    const topic = this.findTopic(name);
    const from = Number(query.get('from'));
    const waitMs = Math.min(30_000, Number(query.get('wait_ms') ?? 0));
    if (topic.records.length <= from && waitMs > 0) {
      await new Promise(resolve => {
        const timer = setTimeout(resolve, waitMs);
        timer.unref();
        topic.waiting.push(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    const {records} = topic;
    const expired = records.findIndex(
      ({at}) => performance.now() - at < KEEP_S * 1000,
    );
    const first = expired < 0 ? records.length : expired;
    if (from < first) {
      sendJson(response, 410, {first});
      return;
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(records.length), 0);
    head.writeBigUInt64BE(BigInt(first), 8);
    const parts = records.slice(from).map(({key, value}) => {
      const start = Buffer.alloc(5);
      start.writeUInt32BE(1 + Buffer.byteLength(key) + value.length, 0);
      start.writeUInt8(Buffer.byteLength(key), 4);
      return Buffer.concat([start, Buffer.from(key), value]);
    });
    response.end(Buffer.concat([head, ...parts]));
  }

  serveNewest(query, name, response) {
    const after = query.get('after') ?? '';
    const rest = this.listNewest(name).filter(({key}) => key > after);
    const items = rest.slice(0, 500).map(({key, value, offset}) => ({
      key,
      value: value.toString('base64'),
      offset,
    }));
    const end = this.findTopic(name).records.length;
    sendJson(response, 200, {items, more: rest.length > 500, end});
  }
}

/** One worker, the back end that a machine hosts. */
export class Worker {
  /**
   * @param options service, version, port, slots, controlAddress, zone, and
   *     optionally: id; handleRun(run, worker), which is called when a request
   *     begins to run and returns 'crash' to end the worker; spoil(run), which
   *     returns the bytes that a faulty worker sends in place of its answer.
   */
  constructor(record, options) {
    this.record = record;
    this.options = {slots: 6, queue: 12, workMs: 60, ...options};
    this.runs = [];
    this.isUp = false;
    this.lifetimes = 0;
    this.idleMs = 10_000;
  }

  get address() {
    return `${LOOPBACK}:${this.options.port}`;
  }

  /** Starts a new lifetime. */
  async start() {
    const {service, port} = this.options;
    this.lifetimes += 1;
    this.id = `i-${service}-${port}-${this.lifetimes}`;
    this.born = Date.now();
    this.sequence = 0;
    this.state = 'ready';
    this.isBeating = true;
    this.running = 0;
    this.waiting = [];
    this.isUp = true;
    this.server = createServer({keepAliveTimeout: this.idleMs});
    this.server.on('request', (message, response) => {
      response.on('error', () => {});
      this.serve(message, response).catch(() => response.destroy());
    });
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, LOOPBACK, resolve);
    });
    this.record.write('worker-starts', {id: this.id, service, port});
    void this.beatRegularly(this.lifetimes);
  }

  /** Ends at once, with all connections, like a crashed process. */
  crash() {
    if (!this.isUp) return;
    this.isUp = false;
    this.isBeating = false;
    for (const wake of this.waiting.splice(0)) wake(false);
    this.server.closeAllConnections();
    this.server.close();
    this.record.write('worker-ends', {id: this.id});
  }

  async beatRegularly(lifetime) {
    while (this.isBeating && this.lifetimes === lifetime) {
      await this.beat();
      await wait(HEARTBEAT_MS);
    }
  }

  buildBeat() {
    const {service, version, slots, zone} = this.options;
    this.sequence += 1;
    return {
      service,
      address: this.address,
      zone,
      version,
      slots,
      state: this.state,
      cold_remaining_ms: 0,
      sequence: this.sequence,
      born: this.born,
    };
  }

  beat(body = this.buildBeat()) {
    return this.tell('heartbeat', body);
  }

  /** Says that it leaves, before it does, and checks in no more. */
  deregister() {
    this.isBeating = false;
    this.sequence += 1;
    const {sequence, born} = this;
    return this.tell('deregister', {sequence, born});
  }

  /** Reports to the node on its machine; returns the status, 0 for none. */
  async tell(what, body) {
    const {controlAddress} = this.options;
    const path = `/v1/instances/${this.id}/${what}`;
    const answer = await sendRequest(controlAddress, {
      method: 'POST',
      path,
      body: Buffer.from(JSON.stringify(body)),
      headers: {'content-type': 'application/json'},
      limitMs: 1000,
    });
    if (what !== 'heartbeat' || body.state !== 'ready')
      this.record.write('worker-tells', {
        id: this.id,
        what,
        ...(body.state ? {state: body.state} : {}),
        status: answer.status,
      });
    return answer.status;
  }

  async serve(message, response) {
    const received = message.headers;
    const id = received['sequoiaspool-attempt-id'];
    const target = received['sequoiaspool-target-instance'];
    const {slots, queue} = this.options;
    const load = `${this.running},${this.waiting.length},${slots},100`;
    const headers = {
      'sequoiaspool-instance-id': this.id,
      'sequoiaspool-server-load': load,
      ...(id === undefined ? {} : {'sequoiaspool-attempt-id': id}),
    };
    if (message.url === '/healthz') {
      const isWell = this.state === 'ready';
      sendJson(response, isWell ? 200 : 503, {}, headers);
      return;
    }
    if (target !== undefined && target !== this.id) {
      message.resume();
      sendJson(response, 421, {}, headers);
      return;
    }
    const refusal = {...headers, 'sequoiaspool-not-executed': '1'};
    if (id === undefined) {
      sendJson(response, 400, {}, refusal);
      return;
    }
    const isFull = this.running >= slots && this.waiting.length >= queue;
    if (isFull) {
      message.resume();
      sendJson(response, 503, {}, refusal);
      return;
    }
    const endsAt =
      performance.now() +
      Number(received['sequoiaspool-deadline-remaining-ms']);
    if (this.running >= slots) {
      const isNext = await new Promise(resolve => this.waiting.push(resolve));
      if (!isNext || response.destroyed) return;
    }
    if (performance.now() >= endsAt) {
      sendJson(response, 503, {}, refusal);
      return;
    }
    await this.run(message, response, id, headers, endsAt);
  }

  async run(message, response, id, headers, endsAt) {
    const run = {
      id,
      worker: this.id,
      method: message.method,
      path: message.url,
      caller: message.headers['sequoiaspool-caller-service'],
      at: this.record.now(),
    };
    this.running += 1;
    this.runs.push(run);
    this.record.write('runs', run);
    const lifetime = this.lifetimes;
    if (this.options.handleRun?.(run, this) === 'crash') {
      this.record.write('worker-crashes', {id: this.id, request: id});
      this.crash();
      return;
    }
    const body = await readBody(message);
    const spoilt = this.options.spoil?.(run);
    if (spoilt !== undefined) {
      this.record.write('worker-spoils', {request: id, bytes: spoilt});
      this.running -= 1;
      response.socket.end(spoilt);
      return;
    }
    const leftMs = endsAt - performance.now();
    const {workMs} = this.options;
    const takesMs = typeof workMs === 'function' ? workMs(run) : workMs;
    await wait(Math.max(0, Math.min(takesMs, leftMs)));
    if (!this.isUp || this.lifetimes !== lifetime) return;
    this.running -= 1;
    this.waiting.shift()?.(true);
    const status = takesMs > leftMs ? 504 : 200;
    const digest = createHash('sha1').update(id).update(body).digest('hex');
    sendJson(
      response,
      status,
      {id, by: this.id, size: body.length},
      {
        ...headers,
        'sequoiaspool-response-signature': digest,
      },
    );
  }
}

/**
 * Sends a request; resolves with its status, 0 when no complete answer came.
 *
 * @param limitMs time after which the connection is closed.
 */
export function sendRequest(
  address,
  {method, path, headers = {}, body, limitMs, agent},
) {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const finish = answer => {
      clearTimeout(timer);
      resolve(answer);
    };
    const sent = request({
      host,
      port,
      method,
      path,
      headers: {'content-length': body?.length ?? 0, ...headers},
      agent: agent ?? new Agent({keepAlive: false}),
    });
    const timer = setTimeout(() => {
      sent.destroy();
      finish({status: 0, error: 'time limit'});
    }, limitMs);
    sent.on('error', error => finish({status: 0, error: error.code}));
    sent.on('response', message => {
      readBody(message).then(
        whole =>
          finish({
            status: message.statusCode,
            headers: message.headers,
            body: whole,
          }),
        error => finish({status: 0, error: error.code}),
      );
    });
    sent.end(body);
  });
}

/** One machine: its settings, its node and its requesters. */
export class Machine {
  constructor(record, folder, store, options) {
    this.record = record;
    this.folder = folder;
    this.store = store;
    this.options = options;
    this.file = join(folder, `${options.name}.toml`);
    this.log = openSync(join(folder, `${options.name}.log`), 'a');
  }

  /** Renders the settings from the template, as the platform does. */
  writeSettings(service = this.options.service) {
    const {name, zone, ports} = this.options;
    const address = index => `${LOOPBACK}:${ports[index]}`;
    this.outbound = address(0);
    this.ready = address(2);
    this.control = address(3);
    const fields = {
      node_name: name,
      zone,
      service,
      ip: LOOPBACK,
      app_address: address(4),
      heartbeat_ms: HEARTBEAT_MS,
      listen: {
        outbound: address(0),
        inbound: address(1),
        ready: address(2),
        control: address(3),
      },
      port_range: [ports[5], ports[5]],
      platform: {address: this.store.address},
      bounds: BOUNDS,
    };
    const template = readFileSync(
      join(ROOT, 'deploy/node.template.toml'),
      'utf8',
    );
    const rendered = template
      // All nodes share one loopback address, so each needs a port of its own.
      .replace('{{ip}}:9464', address(6))
      .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (whole, path, isJson) => {
        const value = path.split('.').reduce((one, key) => one[key], fields);
        return isJson ? JSON.stringify(value) : String(value);
      });
    writeFileSync(`${this.file}.new`, rendered);
    renameSync(`${this.file}.new`, this.file);
  }

  /** Starts the node with the command of the deploy file. */
  startNode() {
    const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
    const [program, ...words] = /^run = "(.+)"$/m.exec(deploy)[1].split(' ');
    const {PATH, HOME, LANG} = process.env;
    this.child = spawn(program, words, {
      cwd: ROOT,
      stdio: ['ignore', this.log, this.log],
      env: {PATH, HOME, LANG, SEQUOIASPOOL_NODE_FILE: this.file},
    });
    const {child} = this;
    this.record.write('node-starts', {name: this.options.name, pid: child.pid});
    this.ended = new Promise(resolve =>
      child.once('exit', (code, signal) => {
        this.record.write('node-ends', {name: this.options.name, code, signal});
        resolve();
      }),
    );
  }

  signal(name) {
    if (this.child.exitCode !== null || this.child.signalCode) return;
    this.record.write('signal', {node: this.options.name, name});
    this.child.kill(name);
  }

  async isReady() {
    const {status} = await sendRequest(this.ready, {
      method: 'GET',
      path: '/v1/readyz',
      limitMs: 1000,
    });
    return status === 200;
  }

  /** Sends one requester attempt to the node of this machine. */
  async call(options) {
    const id = options.id ?? randomBytes(8).toString('hex');
    const {method, path, host, deadlineMs, body, agent} = options;
    const call = {
      id,
      machine: this.options.name,
      method,
      path,
      ...options.note,
    };
    this.record.write('sends', call);
    const sentAt = this.record.now();
    const answer = await sendRequest(this.outbound, {
      method,
      path,
      body,
      agent,
      limitMs: deadlineMs,
      headers: {
        host,
        'sequoiaspool-attempt-id': id,
        'sequoiaspool-deadline-remaining-ms': String(deadlineMs),
        ...options.headers,
      },
    });
    const {status, error} = answer;
    this.record.write('answered', {id, status, ...(error ? {error} : {})});
    return {...answer, id, sentAt};
  }
}

/** A small deployment; `stop` ends all that it started. */
export class Deployment {
  constructor(record) {
    this.record = record;
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.store = new Store(record);
    this.machines = [];
    this.workers = [];
  }

  async startStore() {
    const [port] = await findPorts(1);
    await this.store.start(port);
  }

  /** Adds a machine with its node and its worker. */
  async addMachine({name, zone, service, version = 'v1', ...worker}) {
    const ports = await findPorts(7);
    const machine = new Machine(this.record, this.folder, this.store, {
      name,
      zone,
      service,
      ports,
    });
    machine.writeSettings();
    this.machines.push(machine);
    machine.worker = new Worker(this.record, {
      service,
      version,
      zone,
      port: ports[4],
      controlAddress: machine.control,
      ...worker,
    });
    this.workers.push(machine.worker);
    machine.startNode();
    await machine.worker.start();
    return machine;
  }

  waitUntilReady(limitMs = 30_000) {
    const areReady = async () =>
      (await Promise.all(this.machines.map(one => one.isReady()))).every(
        Boolean,
      );
    return waitFor('ready nodes', areReady, limitMs);
  }

  async stop() {
    for (const {worker} of this.machines) worker.crash();
    for (const {child} of this.machines) {
      if (child.exitCode === null && !child.signalCode) child.kill('SIGKILL');
    }
    await Promise.all(this.machines.map(({ended}) => ended));
    this.store.stop();
    if (process.env.KEEP) process.stderr.write(`kept ${this.folder}\n`);
    else rmSync(this.folder, {recursive: true});
  }
}

/** Builds a configuration of one host name as the operator writes it. */
export function buildConfiguration(number, services, routes) {
  return {
    version: `r${number}`,
    routes: routes.map(route => ({
      host: 'desk.example',
      timeout_ms: 2000,
      target_latency_ms: 800,
      max_attempts: 2,
      priority: 1,
      ...route,
    })),
    services: services.map(name => ({
      name,
      health_path: '/healthz',
      max_connections: 240,
      cold_start_s: 3,
      cold_per_s: 10,
    })),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 67_108_864,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
  };
}

/**
 * Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case
 * could not run.
 *
 * @param play plays the case; returns a verdict and a text for the record.
 */
export async function runCase(caseUrl, play) {
  const record = new Record(
    join(dirname(fileURLToPath(caseUrl)), 'record.txt'),
  );
  const deployment = new Deployment(record);
  const hasTrouble = process.env.TROUBLE !== '0';
  record.write('case', {trouble: hasTrouble});
  let code = 2;
  const limit = setTimeout(() => {
    record.write('gave-up', {after: '110 s'});
    void end();
  }, 110_000);
  const end = async () => {
    clearTimeout(limit);
    await deployment.stop().catch(() => {});
    process.exit(code);
  };
  for (const name of ['SIGINT', 'SIGTERM'])
    process.once(name, () => void end());
  try {
    const {isBroken, text} = await play(deployment, record, hasTrouble);
    code = isBroken ? 1 : 0;
    record.write(isBroken ? 'BROKEN' : 'HELD', {result: text});
    process.stdout.write(`${isBroken ? 'broken' : 'held'}: ${text}\n`);
  } catch (error) {
    record.write('could-not-run', {error: String(error.stack)});
    process.stderr.write(`could not run: ${error.stack}\n`);
  }
  await end();
}
