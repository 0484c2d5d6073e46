/**
 * Publishes crash reports to all nodes. In a small deployment a node sends them
 * to every other node. In a large one it divides the other nodes into about
 * sqrt(n) groups and sends to one node of each, which forwards to the rest of
 * its group, so that no node sends to thousands at once.
 */
import {create} from '@bufbuild/protobuf';
import type {ConnectRouter} from '@connectrpc/connect';
import type {CrashReport} from '../protocol/attempts_pb.js';
import {
  AttemptService,
  CrashReportSchema,
  PushCrashesReplySchema,
} from '../protocol/attempts_pb.js';
import type {PeerClients} from './peer-client.js';

/** Largest number of other nodes to which reports are sent directly. */
const MAX_DIRECT_NODES = 32;
const CALL_TIMEOUT_MS = 1000;
/** Delays before each retry of a node that could not be reached. */
const RETRY_DELAYS_MS = [500, 2000];

/** A crash report with the fields of the state layer's crash records. */
type CrashFields = Pick<CrashReport, 'crashId' | 'service'> & {
  readonly fingerprints: readonly string[];
  readonly answeredFingerprints: readonly string[];
  readonly suspects: readonly string[];
};

/** Dependencies of a CrashPublisher. */
export interface CrashPublisherOptions {
  readonly peers: PeerClients;
  /** Returns the peer addresses of all other nodes. */
  readonly listPeerAddresses: () => string[];
  /** Called for each report that another node sent. */
  readonly handleRecord: (record: CrashFields) => void;
}

/** Sends crash reports to other nodes and receives theirs. */
export class CrashPublisher {
  constructor(private readonly options: CrashPublisherOptions) {}

  /** Sends reports to all other nodes; resolves after one attempt for each. */
  async publish(records: readonly CrashFields[]): Promise<void> {
    const reports = records.map(record =>
      create(CrashReportSchema, {
        ...record,
        fingerprints: [...record.fingerprints],
        answeredFingerprints: [...record.answeredFingerprints],
        suspects: [...record.suspects],
      }),
    );
    await this.sendToAll(reports, this.options.listPeerAddresses());
  }

  /** Registers the call that receives crash reports. */
  registerService(router: ConnectRouter): void {
    router.rpc(AttemptService.method.pushCrashes, ({reports, forwardTo}) => {
      for (const report of reports) this.options.handleRecord(report);
      void this.sendToGroups(reports, forwardTo.map(buildSingleGroup));
      return create(PushCrashesReplySchema);
    });
  }

  private async sendToAll(
    reports: CrashReport[],
    addresses: string[],
  ): Promise<void> {
    const groups =
      addresses.length <= MAX_DIRECT_NODES
        ? addresses.map(buildSingleGroup)
        : buildGroups(addresses);
    await this.sendToGroups(reports, groups);
  }

  private async sendToGroups(
    reports: CrashReport[],
    groups: string[][],
  ): Promise<void> {
    await Promise.all(groups.map(group => this.sendToGroup(reports, group)));
  }

  /** Sends reports to the first reachable node of a group, to forward them. */
  private async sendToGroup(
    reports: CrashReport[],
    group: string[],
  ): Promise<void> {
    const [first, ...rest] = group;
    if (first === undefined || (await this.send(reports, first, rest))) return;
    void this.retry(reports, first);
    await this.sendToGroup(reports, rest);
  }

  private async retry(reports: CrashReport[], address: string): Promise<void> {
    for (const delayMs of RETRY_DELAYS_MS) {
      await new Promise(resolve => setTimeout(resolve, delayMs).unref());
      if (await this.send(reports, address, [])) return;
    }
  }

  private async send(
    reports: CrashReport[],
    address: string,
    forwardTo: string[],
  ): Promise<boolean> {
    try {
      const client = this.options.peers.find(AttemptService, address);
      const options = {timeoutMs: CALL_TIMEOUT_MS};
      await client.pushCrashes({reports, forwardTo}, options);
      return true;
    } catch {
      return false;
    }
  }
}

function buildSingleGroup(address: string): string[] {
  return [address];
}

/** Divides n addresses into ceil(sqrt(n)) groups. */
export function buildGroups(addresses: readonly string[]): string[][] {
  const count = Math.ceil(Math.sqrt(addresses.length));
  const groups: string[][] = Array.from({length: count}, () => []);
  addresses.forEach((address, index) => groups[index % count]!.push(address));
  return groups;
}
