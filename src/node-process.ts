/**
 * One node: builds the layers from the settings, joins them, and takes them
 * down again in an order that cuts no request.
 */
import {randomUUID} from 'node:crypto';
import type {Server} from 'node:http';
import type {ConnectRouter} from '@connectrpc/connect';
import {CrashQuarantine} from './coordination/crash-quarantine.js';
import {Entry} from './coordination/entry.js';
import {Gate} from './coordination/gate.js';
import {Membership} from './coordination/membership.js';
import {announcementSchema} from './protocol/announcement.js';
import type {Attempt, AttemptAnswer} from './protocol/attempt.js';
import {MembershipService} from './protocol/membership_pb.js';
import type {NodeIdentity} from './protocol/node-identity.js';
import {createIncarnation, parseAddress} from './protocol/node-identity.js';
import {Reason, RefusalError} from './protocol/reasons.js';
import type {NodeSettings} from './protocol/settings.js';
import {formatFaults} from './protocol/settings.js';
import {CrashTable} from './state/crash-table.js';
import {StateStore} from './state/state-store.js';
import {WorkerTable} from './state/worker-table.js';
import type {OwnRoute} from './transport/caller-listener.js';
import {createCallerServer} from './transport/caller-listener.js';
import {CrashSpread} from './transport/crash-service.js';
import {GateClient} from './transport/gate-client.js';
import {createLogger} from './transport/logger.js';
import {Metrics} from './transport/metrics.js';
import {PeerClients} from './transport/peer-client.js';
import type {ReceivedAttempt} from './transport/peer-listener.js';
import {createPeerServer} from './transport/peer-listener.js';
import {UpstreamClient} from './transport/upstream-client.js';

/** A running node. */
export class NodeProcess {
  private readonly identity: NodeIdentity;
  private readonly logger;
  private readonly metrics;
  private readonly state;
  private readonly workers = new WorkerTable();
  private readonly peers = new PeerClients();
  private readonly crashTable = new CrashTable();
  private readonly crashSpread = new CrashSpread({
    peers: this.peers,
    listPeerAddresses: () => this.listPeerAddresses(),
    handleRecord: record => this.crashTable.add(record),
  });
  private readonly gateClient;
  private readonly gate;
  private readonly entry;
  private readonly membership;
  private readonly callerServer: Server;
  private readonly peerServer: Server;
  private isStopping = false;

  constructor(settings: NodeSettings) {
    const {node} = settings;
    this.identity = {
      nodeId: node.id,
      incarnation: createIncarnation(Date.now(), Math.random),
      dataCentre: node.dataCentre,
      callerAddress: node.callerAddress,
      peerAddress: node.peerAddress,
    };
    this.logger = createLogger(node.id, settings.logging);
    this.metrics = new Metrics(node.id, settings.metrics);
    this.state = new StateStore(settings.configuration);
    this.gateClient = new GateClient(node.id, settings.connections);
    this.gate = new Gate(
      announcement =>
        new UpstreamClient(
          announcement.address,
          announcement.slots,
          settings.connections.connectTimeout,
        ),
      this.state,
      node.dataCentre,
      new CrashQuarantine(this.crashTable, records =>
        this.crashSpread.spread(records),
      ),
    );
    this.entry = new Entry({
      nodeId: node.id,
      dataCentre: node.dataCentre,
      state: this.state,
      workers: this.workers,
      sendAttempt: (attempt, signal) => this.sendAttempt(attempt, signal),
      random: Math.random,
      createAttemptId: randomUUID,
    });
    this.membership = new Membership({
      identity: this.identity,
      settings: settings.membership,
      workers: this.workers,
      random: Math.random,
      calls: {
        exchangeMembers: async (peerAddress, members) => {
          const client = this.peers.find(MembershipService, peerAddress);
          return (await client.exchangeMembers({members})).members;
        },
      },
    });
    this.callerServer = createCallerServer({
      ownRoutes: this.buildOwnRoutes(),
      findProfile: service => this.state.findProfile(service),
      handleRequest: (request, signal) =>
        this.entry.handleRequest(request, signal),
      handleRefusal: (refusal, requestId) => {
        this.metrics.count(`refusals.${refusal.reason}`);
        this.logger.write('debug', 'refused', {
          requestId,
          reason: refusal.reason,
          verdict: refusal.verdict,
        });
      },
      isStopping: () => this.isStopping,
    });
    this.peerServer = createPeerServer({
      handleAttempt: (attempt, signal, handleAdmitted) =>
        this.handleAttempt(attempt, signal, handleAdmitted),
      registerServices: router => this.registerServices(router),
    });
  }

  /** Listens, joins the other nodes and begins to work. */
  async start(): Promise<void> {
    await startListening(this.peerServer, this.identity.peerAddress);
    await startListening(this.callerServer, this.identity.callerAddress);
    this.gate.events.on('workersChanged', () =>
      this.membership.updateWorkers(this.gate.listWorkers()),
    );
    this.membership.start();
    this.logger.write('info', 'started', {
      callerAddress: this.identity.callerAddress,
      peerAddress: this.identity.peerAddress,
    });
  }

  /** Stops without cutting a request. */
  async stop(): Promise<void> {
    this.isStopping = true;
    await this.membership.leave();
    this.membership.stop();
    await Promise.all([close(this.callerServer), close(this.peerServer)]);
    await this.gateClient.close();
    await this.gate.close();
    this.peers.close();
    await this.metrics.close();
    this.logger.write('info', 'stopped');
  }

  private async sendAttempt(
    attempt: Attempt,
    signal: AbortSignal,
  ): Promise<AttemptAnswer> {
    if (attempt.target.nodeId === this.identity.nodeId) {
      return this.gate.runAttempt(attempt.request, attempt.version, signal);
    }
    return this.gateClient.sendAttempt(attempt, signal, () => {
      this.metrics.count('connections.silent');
    });
  }

  private async handleAttempt(
    attempt: ReceivedAttempt,
    signal: AbortSignal,
    handleAdmitted: () => void,
  ): Promise<AttemptAnswer> {
    if (attempt.incarnation !== this.identity.incarnation) {
      throw new RefusalError(Reason.WRONG_INCARNATION);
    }
    const {request, version} = attempt;
    return this.gate.runAttempt(request, version, signal, handleAdmitted);
  }

  private listPeerAddresses(): string[] {
    return this.workers
      .listNodes()
      .filter(({nodeId}) => nodeId !== this.identity.nodeId)
      .map(({peerAddress}) => peerAddress);
  }

  private registerServices(router: ConnectRouter): void {
    this.crashSpread.registerService(router);
    router.service(MembershipService, {
      exchangeMembers: request => ({
        members: this.membership.handleExchange(request.members),
      }),
    });
  }

  private buildOwnRoutes(): OwnRoute[] {
    return [
      {
        method: 'get',
        path: '/-/health',
        handle: () => ({status: 200, body: {status: 'ok'}}),
      },
      {
        method: 'get',
        path: '/-/ready',
        handle: () =>
          this.isStopping
            ? {status: 503, body: {status: 'stopping'}}
            : {status: 200, body: {status: 'ready'}},
      },
      {
        method: 'get',
        path: '/-/status',
        handle: () => ({
          status: 200,
          body: {
            ...this.identity,
            counters: this.metrics.report(),
            nodes: this.workers.listNodes(),
          },
        }),
      },
      {
        method: 'post',
        path: '/-/announce',
        handle: ({body}) => {
          const result = announcementSchema.safeParse(body);
          if (!result.success) {
            throw new RefusalError(
              Reason.MALFORMED_REQUEST,
              'not-run',
              formatFaults(result.error).join('; '),
            );
          }
          this.gate.announce(result.data);
          return {status: 200, body: {accepted: true}};
        },
      },
    ];
  }
}

function startListening(server: Server, address: string): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(parseAddress(address), () => resolve());
  });
}

function close(server: Server): Promise<void> {
  return new Promise(resolve => server.close(() => resolve()));
}
