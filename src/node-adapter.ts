/**
 * What an adapter brings so that a node runs on a platform with forms of its
 * own: how callers and workers are spoken to, the store, and how operators'
 * records are read. An adapter translates; what follows from its words is
 * decided by the node.
 */
import type {Server} from 'node:http';
import type {KeyedTopic} from './coordination/keyed-follower.js';
import type {MoveOutcomes} from './coordination/ordered-moves.js';
import type {DesiredState} from './coordination/desired-state.js';
import type {NodeDirectory} from './coordination/peer-directory-options.js';
import type {
  ReportOutcome,
  WorkerReport,
} from './coordination/worker-reports.js';
import type {Announcement} from './protocol/announcement.js';
import type {Profile, RouteRule} from './protocol/configuration.js';
import type {KeyedRecord} from './state/keyed-records.js';
import type {CallerProtocol, OwnAnswer} from './transport/caller-listener.js';
import type {UpstreamProtocol} from './transport/upstream-protocol.js';

/** What an adapter asks of the node. */
export interface NodePort {
  /** Whether any configuration is in force. */
  isConfigured(): boolean;
  findProfile(service: string): Profile | undefined;
  findRoute(host: string, path: string): RouteRule | undefined;
  chooseService(rule: RouteRule): string;
  describeReadiness(): OwnAnswer;
  handleReport(report: WorkerReport): ReportOutcome;
  handleLeave(instanceId: string): ReportOutcome;
  count(name: string): void;
  log(text: string, context: Readonly<Record<string, string | number>>): void;
}

/** A server of the adapter with the address that it listens at. */
export interface AdapterServer {
  readonly address: string;
  readonly server: Server;
}

/** An adapter to one platform. */
export interface NodeAdapter {
  readonly operatorTopic: KeyedTopic;
  readonly directory: NodeDirectory;
  readonly moveOutcomes: MoveOutcomes;
  createCallerProtocol(port: NodePort): CallerProtocol;
  createUpstreamProtocol(worker: Announcement): UpstreamProtocol;
  /** Reads what operators wrote; unreadable records are reported. */
  readOperatorRecords(
    records: readonly KeyedRecord[],
    port: NodePort,
  ): DesiredState;
  /** Servers for readiness and for the worker's reports. */
  createServers(port: NodePort): readonly AdapterServer[];
  close(): Promise<void>;
}
