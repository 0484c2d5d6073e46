/**
 * Tracks which epochs of a service's home lists are still open. The homes of an
 * ended epoch must be asked about a key until no resend of a key that they may
 * have run can arrive any more. The retention time starts when this node, or a
 * node that reported the epoch as closed, learned of its end. That is later
 * than the end itself, so an epoch is never closed too early, and the clocks of
 * two nodes are never compared.
 */
import type {Profile} from '../protocol/configuration.js';
import type {KeyHome} from '../protocol/records.js';
import type {HomeList} from '../state/replicated-state.js';
import type {ClaimLimits} from '../state/key-claims.js';
import type {StateStore} from '../state/state-store.js';
import {chooseHome} from './home-choice.js';

/** Methods of the state store that key homes use. */
export type HomeState = Pick<
  StateStore,
  'listHomeLists' | 'findProfile' | 'computeLogAgeMs'
>;

/** An earlier home of a key. */
export interface EarlierHome {
  readonly home: KeyHome;
  /** Newest epoch under which this process was the key's home. */
  readonly epoch: number;
}

/**
 * Returns how long a key must be remembered, in milliseconds. A home cut off
 * from the log accepts keys until the freshness limit, callers may resend for
 * the key's lifetime after that, and the last resend may be handled until its
 * own time limit.
 */
export function computeKeyRetentionMs(profile: Profile): number {
  const {keyLifetime, freshnessLimit} = profile.idempotency;
  return keyLifetime + freshnessLimit + profile.maxTimeLimit;
}

/** Returns how long and how many keys of a service are remembered. */
export function computeClaimLimits(profile: Profile): ClaimLimits {
  return {
    lifetimeMs: computeKeyRetentionMs(profile),
    maxKeys: profile.idempotency.maxKeys,
  };
}

/** Epochs of all services, as known to one node. */
export class HomeEpochs {
  /**
   * Local time at which this node first saw that each epoch had ended, by
   * service.
   */
  private readonly endObservedAt = new Map<string, Map<number, number>>();
  /** First epoch that is not known to be closed, by service. */
  private readonly firstOpenEpochs = new Map<string, number>();

  constructor(
    private readonly state: HomeState,
    private readonly readClock = () => performance.now(),
  ) {}

  /** Returns the newest home list of a service that this node knows. */
  findNewest(service: string): HomeList | undefined {
    return this.state.listHomeLists(service).at(-1);
  }

  /** Finds the home of a key under the newest list. */
  findHome(service: string, key: string): KeyHome | undefined {
    const newest = this.findNewest(service);
    return newest && chooseHome(newest.homes, service, key);
  }

  /**
   * Records which epochs have ended. Frequent calls notice an end sooner, so
   * that the epoch closes sooner.
   */
  observe(service: string): void {
    const lists = this.state.listHomeLists(service);
    let observed = this.endObservedAt.get(service);
    if (!observed) {
      observed = new Map();
      this.endObservedAt.set(service, observed);
    }
    const now = this.readClock();
    for (const {epoch} of lists.slice(0, -1)) {
      if (!observed.has(epoch)) observed.set(epoch, now);
    }
  }

  /** Returns the first epoch whose homes must still be asked. */
  computeFirstOpenEpoch(service: string): number {
    this.observe(service);
    const profile = this.state.findProfile(service);
    let first = this.firstOpenEpochs.get(service) ?? 0;
    if (!profile) return first;
    const closedBefore = this.readClock() - computeKeyRetentionMs(profile);
    const observed = this.endObservedAt.get(service)!;
    for (const [epoch, at] of observed) {
      if (at < closedBefore) first = Math.max(first, epoch + 1);
    }
    this.recordFirstOpenEpoch(service, first);
    return first;
  }

  /** Records that another node reports all epochs below `epoch` as closed. */
  recordFirstOpenEpoch(service: string, epoch: number): void {
    const known = this.firstOpenEpochs.get(service) ?? 0;
    this.firstOpenEpochs.set(service, Math.max(known, epoch));
  }

  /**
   * Returns the earlier homes at which the home at `epoch` must seal a key. A
   * home that handed over its keys counts as sealed: a later list records the
   * transfer, and the key's home under that list is asked instead.
   */
  listEarlierHomes(
    service: string,
    key: string,
    epoch: number,
  ): readonly EarlierHome[] {
    const firstOpen = this.computeFirstOpenEpoch(service);
    const lists = this.state
      .listHomeLists(service)
      .filter(list => list.epoch <= epoch);
    const earlier = new Map<string, EarlierHome>();
    for (const list of lists) {
      if (list.epoch < firstOpen || list.epoch === epoch) continue;
      const home = chooseHome(list.homes, service, key);
      if (!home || isHandedOver(home, list.epoch, lists)) continue;
      const processKey = `${home.nodeId}#${home.incarnation}`;
      earlier.set(processKey, {home, epoch: list.epoch});
    }
    return [...earlier.values()];
  }
}

/** Returns whether two home list entries name the same process. */
export function isSameHome(
  first: Pick<KeyHome, 'nodeId' | 'incarnation'>,
  second: Pick<KeyHome, 'nodeId' | 'incarnation'>,
): boolean {
  return (
    first.nodeId === second.nodeId && first.incarnation === second.incarnation
  );
}

function isHandedOver(
  home: KeyHome,
  epoch: number,
  lists: readonly HomeList[],
): boolean {
  return lists.some(
    list =>
      list.epoch > epoch &&
      list.handedOver.some(leavingHome => isSameHome(leavingHome, home)),
  );
}
