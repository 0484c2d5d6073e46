/**
 * Publishes crash reports to all nodes. In a small deployment a node sends them
 * to every other node. In a large one it divides the other nodes into about
 * sqrt(n) groups and sends to one node of each, which forwards to the rest of
 * its group, so that no node sends to thousands at once.
 */
import type {CrashRecord, SendCrashes} from '../protocol/crash-record.js';

/** Largest number of other nodes to which reports are sent directly. */
const MAX_DIRECT_NODES = 32;
/** Delays before each retry of a node that could not be reached. */
const RETRY_DELAYS_MS = [500, 2000];

/** Dependencies of a CrashPublisher. */
export interface CrashPublisherOptions {
  readonly send: SendCrashes;
  /** Returns the peer addresses of all other nodes. */
  readonly listPeerAddresses: () => readonly string[];
  /** Called for each report that another node sent. */
  readonly handleRecord: (record: CrashRecord) => void;
}

/** Sends crash reports to other nodes and receives theirs. */
export class CrashPublisher {
  constructor(private readonly options: CrashPublisherOptions) {}

  /** Sends reports to all other nodes; resolves after one attempt for each. */
  async publish(reports: readonly CrashRecord[]): Promise<void> {
    const addresses = this.options.listPeerAddresses();
    const groups =
      addresses.length <= MAX_DIRECT_NODES
        ? addresses.map(buildSingleGroup)
        : buildGroups(addresses);
    await this.sendToGroups(reports, groups);
  }

  /** Handles reports of another node and forwards them. */
  receive(reports: readonly CrashRecord[], forwardTo: readonly string[]): void {
    for (const report of reports) this.options.handleRecord(report);
    void this.sendToGroups(reports, forwardTo.map(buildSingleGroup));
  }

  private async sendToGroups(
    reports: readonly CrashRecord[],
    groups: ReadonlyArray<readonly string[]>,
  ): Promise<void> {
    await Promise.all(groups.map(group => this.sendToGroup(reports, group)));
  }

  /** Sends reports to the first reachable node of a group, to forward them. */
  private async sendToGroup(
    reports: readonly CrashRecord[],
    group: readonly string[],
  ): Promise<void> {
    const [first, ...rest] = group;
    if (first === undefined || (await this.send(reports, first, rest))) return;
    void this.retry(reports, first);
    await this.sendToGroup(reports, rest);
  }

  private async retry(
    reports: readonly CrashRecord[],
    address: string,
  ): Promise<void> {
    for (const delayMs of RETRY_DELAYS_MS) {
      await new Promise(resolve => setTimeout(resolve, delayMs).unref());
      if (await this.send(reports, address, [])) return;
    }
  }

  private async send(
    reports: readonly CrashRecord[],
    address: string,
    forwardTo: readonly string[],
  ): Promise<boolean> {
    try {
      await this.options.send(address, reports, forwardTo);
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
