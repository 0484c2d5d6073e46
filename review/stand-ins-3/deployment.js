/* global setTimeout, performance, fetch, AbortSignal */
/**
 * A small deployment for the cases: nodes as processes, with the command and the
 * settings template of the deploy folder, beside the project's stand-in of the
 * store and workers of the case. All addresses are on loopback.
 */
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {parse} from 'smol-toml';
import {
  FaultProxy,
  findFreePorts,
  PlatformStoreStandIn,
  renderTemplate,
} from '../../target/review-3/stand-ins.js';
import {Worker} from './worker.js';

export const ROUTE_HOST = 'desk.example';
const PORTS_PER_HOST = 8;
const READY_TIMEOUT_MS = 30_000;
const POLL_MS = 50;

export const waitMs = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Waits until a condition holds; throws after a time. */
export async function waitFor(what, check, timeoutMs = READY_TIMEOUT_MS) {
  const deadline = performance.now() + timeoutMs;
  for (;;) {
    if (await check()) return;
    if (performance.now() > deadline) throw new Error(`timed out: ${what}`);
    await waitMs(POLL_MS);
  }
}

/** Lines of a case's record, each with the time since its start. */
export class Record {
  constructor(file) {
    this.file = file;
    this.lines = [];
    this.startedAt = performance.now();
  }

  add(text) {
    const seconds = ((performance.now() - this.startedAt) / 1000).toFixed(3);
    this.lines.push(`${seconds} ${text}`);
  }

  save() {
    writeFileSync(this.file, `${this.lines.join('\n')}\n`);
  }
}

/** A host: its node and its worker. */
class Host {
  constructor(fields) {
    Object.assign(this, fields);
    this.starts = 0;
    this.ownEnds = 0;
    this.output = '';
  }

  /** Starts the node as the platform does, and again when it ends by itself. */
  startNode() {
    const [program, ...words] = this.command;
    const child = spawn(
      program === 'node' ? process.execPath : program,
      words,
      {
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          SEQUOIASPOOL_NODE_FILE: this.settingsFile,
        },
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    this.starts += 1;
    this.child = child;
    this.isWanted = true;
    const keep = part => {
      this.output = (this.output + part).slice(-400_000);
    };
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.once('exit', (code, signal) => {
      this.record.add(
        `node ${this.id} pid ${child.pid} ended: ${code ?? signal}`,
      );
      if (this.child !== child || !this.isWanted) return;
      this.ownEnds += 1;
      setTimeout(() => {
        if (this.isWanted) this.startNode();
      }, 500);
    });
    this.record.add(`node ${this.id} pid ${child.pid} started`);
  }

  signal(name) {
    this.record.add(`${name} to node ${this.id}`);
    this.child.kill(name);
  }

  async endNode(signal = 'SIGKILL') {
    this.isWanted = false;
    const {child} = this;
    if (!child || child.exitCode !== null || child.signalCode !== null) return;
    const exited = new Promise(resolve => child.once('exit', resolve));
    child.kill('SIGCONT');
    child.kill(signal);
    await exited;
  }

  async isReady() {
    try {
      const reply = await fetch(`http://${this.ready}/v1/readyz`, {
        signal: AbortSignal.timeout(1000),
      });
      await reply.arrayBuffer();
      return reply.status === 200;
    } catch {
      return false;
    }
  }
}

/** A deployment of several hosts and one store. */
export class Deployment {
  /**
   * @param options record; hosts: number; slots; routes; `run(context)` of the
   *     workers; `limits` of the settings; `proxies`: whether nodes reach their
   *     workers and each other's inbound address through proxies.
   */
  constructor(options) {
    this.options = options;
    this.store = new PlatformStoreStandIn();
    this.hosts = [];
    this.folder = mkdtempSync(join(tmpdir(), 'review-3-'));
    this.version = 0;
  }

  async start() {
    const {hosts = 3, workerOptions = () => ({})} = this.options;
    this.storeAddress = await this.store.start();
    this.publish();
    for (let index = 0; index < hosts; index++) {
      this.hosts.push(await this.createHost(index, workerOptions(index)));
    }
    const {startsLater = () => false} = this.options;
    this.later = this.hosts.filter((_, index) => startsLater(index));
    await this.startHosts(
      this.hosts.filter(host => !this.later.includes(host)),
    );
    // Time for the nodes to learn of all workers.
    await waitMs(4000);
  }

  /** Starts the hosts that the options left out at first. */
  startLater() {
    return this.startHosts(this.later);
  }

  async startHosts(hosts) {
    for (const host of hosts) {
      await host.worker.start();
      host.startNode();
    }
    await waitFor('all nodes ready', async () => {
      const states = await Promise.all(hosts.map(host => host.isReady()));
      return states.every(Boolean);
    });
  }

  publish(change = {}) {
    this.version += 1;
    const {routes, services} = {...this.options, ...change};
    this.store.write('keyed.op', 'config', {
      version: `r${this.version}`,
      routes: routes.map(route => ({
        host: ROUTE_HOST,
        timeout_ms: 3000,
        target_latency_ms: 1000,
        max_attempts: 3,
        priority: 1,
        service: 'desk',
        ...route,
      })),
      services: services ?? [
        {
          name: 'desk',
          health_path: '/healthz',
          max_connections: 240,
          cold_per_s: 50,
        },
      ],
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 4_000_000,
        header_timeout_ms: 5000,
        idle_timeout_ms: 15_000,
      },
    });
  }

  async createHost(index, workerOptions) {
    const {record, slots = 6, run, limits = {}} = this.options;
    const ports = await findFreePorts(PORTS_PER_HOST);
    const [outbound, inbound, ready, control, metrics, beacon, app] = ports;
    const at = port => `127.0.0.1:${port}`;
    const id = `sidecar-zone-${index % 2}-${index}`;
    const service = workerOptions.service ?? 'desk';
    const workerProxy = new FaultProxy(at(app));
    const appAddress = this.options.proxies
      ? await workerProxy.start()
      : at(app);
    const {roles} = parse(readFileSync('deploy/system.toml', 'utf8'));
    const template = readFileSync('deploy/node.template.toml', 'utf8');
    const text = renderTemplate(template, {
      node_name: id,
      zone: `zone-${index % 2}`,
      service,
      app_address: appAddress,
      ip: '127.0.0.1',
      listen: {
        outbound: at(outbound),
        inbound: at(inbound),
        ready: at(ready),
        control: at(control),
      },
      port_range: [beacon],
      platform: {address: this.storeAddress},
      heartbeat_ms: 1500,
      limits: {memory_mb: 350, max_fds: 4100, ...limits},
      bounds: {
        retry_budget_ratio: 0.2,
        budget_extra: 60,
        expose_share: 0.1,
        probes_per_s: 60,
        grace_s: 6,
      },
    })
      // The template has a fixed port, which hosts on one address can't share.
      .replace('127.0.0.1:9464', at(metrics));
    const settingsFile = join(this.folder, `${id}.toml`);
    writeFileSync(settingsFile, text);
    const worker = new Worker({
      service,
      slots,
      port: app,
      reportAddress: at(control),
      zone: `zone-${index % 2}`,
      record,
      run,
      ...workerOptions,
    });
    return new Host({
      id,
      record,
      settingsFile,
      command: roles.node.run.split(' '),
      outbound: at(outbound),
      inbound: at(inbound),
      ready: at(ready),
      worker,
      workerProxy,
    });
  }

  async stop() {
    await Promise.all(this.hosts.map(host => host.endNode()));
    for (const {worker, workerProxy} of this.hosts) {
      await worker.stop();
      if (this.options.proxies) await workerProxy.stop();
    }
    await this.store.stop();
    rmSync(this.folder, {recursive: true});
  }
}
