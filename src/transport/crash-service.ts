/**
 * Spreads crashes among nodes. A small deployment is told straight; in a large
 * one a node tells about the square root of all nodes, and each of these tells
 * its part of the rest, so that no node sends to thousands at once.
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

/** Nodes up to which all are told straight. */
const DIRECT_NODES = 32;
const CALL_LIMIT_MS = 1000;
/** Pauses before those that could not be told are tried again. */
const RETRY_PAUSES_MS = [500, 2000];

/** A crash as the state layer records it. */
type CrashFields = Pick<CrashReport, 'crashId' | 'service'> & {
  readonly fingerprints: readonly string[];
  readonly answeredFingerprints: readonly string[];
  readonly suspects: readonly string[];
};

/** What spreading works with. */
export interface CrashSpreadOptions {
  readonly peers: PeerClients;
  /** Peer addresses of all other nodes. */
  readonly listPeerAddresses: () => string[];
  /** Takes records that another node sent. */
  readonly handleRecord: (record: CrashFields) => void;
}

/** Sends crashes to other nodes and takes theirs. */
export class CrashSpread {
  constructor(private readonly options: CrashSpreadOptions) {}

  /** Tells all other nodes; resolves when each was tried once. */
  async spread(records: readonly CrashFields[]): Promise<void> {
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

  /** Registers the call by which other nodes tell of crashes. */
  registerService(router: ConnectRouter): void {
    router.rpc(AttemptService.method.pushCrashes, ({reports, forwardTo}) => {
      for (const report of reports) this.options.handleRecord(report);
      void this.sendToEach(reports, forwardTo.map(buildPart));
      return create(PushCrashesReplySchema);
    });
  }

  private async sendToAll(
    reports: CrashReport[],
    addresses: string[],
  ): Promise<void> {
    const parts =
      addresses.length <= DIRECT_NODES
        ? addresses.map(buildPart)
        : buildParts(addresses);
    await this.sendToEach(reports, parts);
  }

  private async sendToEach(
    reports: CrashReport[],
    parts: string[][],
  ): Promise<void> {
    await Promise.all(parts.map(part => this.sendToPart(reports, part)));
  }

  /** Tells the first of a part, which tells the rest. */
  private async sendToPart(
    reports: CrashReport[],
    part: string[],
  ): Promise<void> {
    const [first, ...rest] = part;
    if (first === undefined || (await this.send(reports, first, rest))) return;
    void this.retry(reports, first);
    await this.sendToPart(reports, rest);
  }

  private async retry(reports: CrashReport[], address: string): Promise<void> {
    for (const pause of RETRY_PAUSES_MS) {
      await new Promise(resolve => setTimeout(resolve, pause).unref());
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
      const options = {timeoutMs: CALL_LIMIT_MS};
      await client.pushCrashes({reports, forwardTo}, options);
      return true;
    } catch {
      return false;
    }
  }
}

function buildPart(address: string): string[] {
  return [address];
}

/** Splits addresses into about the square root of their number of parts. */
export function buildParts(addresses: readonly string[]): string[][] {
  const count = Math.ceil(Math.sqrt(addresses.length));
  const parts: string[][] = Array.from({length: count}, () => []);
  addresses.forEach((address, index) => parts[index % count]!.push(address));
  return parts;
}
