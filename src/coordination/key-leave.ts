/**
 * Graceful leave of a key home: it stops claiming keys, waits for running
 * requests, copies its claims to the homes of the next lists, from which it is
 * removed, and only then appends those lists, which record that its keys were
 * handed over. Later homes then need not ask it, so a planned stop leaves no
 * key in doubt.
 */
import type {ClaimCopy} from '../protocol/key-messages.js';
import type {KeyHome} from '../protocol/records.js';
import type {HomeList} from '../state/replicated-state.js';
import type {KeyClaim, KeyClaims} from '../state/key-claims.js';
import {ClaimState} from '../state/key-claims.js';
import {chooseHome} from './home-choice.js';
import type {HomeState} from './home-epochs.js';
import {isSameHome} from './home-epochs.js';
import type {KeyHomeCalls} from './key-sealing.js';

const MAX_APPEND_ATTEMPTS = 5;
/**
 * Maximum number of homes of one service; more would only make lists longer.
 */
export const MAX_HOMES = 128;
/** Maximum number of claims in one call, which bounds the message size. */
const MAX_CLAIMS_PER_CALL = 200;
/** A batch that holds this many bytes of answers takes no more claims. */
const TARGET_BYTES_PER_CALL = 1024 * 1024;

/** A list to append, by compare-and-set on the epoch in `buildsOn`. */
export interface NextHomeList {
  readonly service: string;
  readonly buildsOn: number;
  readonly homes: readonly KeyHome[];
  readonly handedOver: readonly KeyHome[];
}

/** Appends a list and resolves with whether it was accepted. */
export type AppendList = (list: NextHomeList) => Promise<boolean>;

/** Dependencies of leaveHomes. */
export interface LeaveOptions {
  readonly identity: KeyHome;
  readonly state: Pick<HomeState, 'listHomeLists'>;
  readonly claims: KeyClaims;
  readonly calls: Pick<KeyHomeCalls, 'handOverKeys'>;
  readonly listServices: () => readonly string[];
  /** Processes that may be homes of a service now. */
  readonly listCandidates: (service: string) => readonly KeyHome[];
  readonly appendList: AppendList;
  /** Aborts the wait for running keys, whose claims are then in doubt. */
  readonly signal: AbortSignal;
}

/** Stops claiming keys at once, then hands over all keys of this node. */
export async function leaveHomes(options: LeaveOptions): Promise<void> {
  const {claims, listServices, signal} = options;
  claims.close();
  await waitForRuns(claims, signal);
  await Promise.all(
    listServices().map(service => leaveService(options, service)),
  );
}

async function waitForRuns(
  claims: KeyClaims,
  signal: AbortSignal,
): Promise<void> {
  const aborted = new Promise<void>(resolve => {
    if (signal.aborted) resolve();
    else signal.addEventListener('abort', () => resolve(), {once: true});
  });
  const runs = claims.listClaims().map(claim => claim.ended);
  await Promise.race([Promise.all(runs), aborted]);
}

/**
 * Hands over the keys of one service. Retries when another node appended a list
 * first, since that list may name other homes.
 */
async function leaveService(
  options: LeaveOptions,
  service: string,
): Promise<void> {
  const {identity, state} = options;
  for (let attempts = 0; attempts < MAX_APPEND_ATTEMPTS; attempts++) {
    const lists = state.listHomeLists(service);
    const newest = lists.at(-1);
    const wasHome = lists.some(list => hasHome(list, identity));
    if (!newest || !wasHome) return;
    const homes = chooseNextHomes(options, service, newest);
    if (homes.length === 0) return;
    const isCopied = await copyClaims(options, service, homes);
    const isAppended = await options.appendList({
      service,
      buildsOn: newest.epoch,
      homes,
      handedOver: isCopied ? [identity] : [],
    });
    if (isAppended) return;
  }
}

/**
 * Returns the homes of the newest list without the leaving one. Nodes that have
 * just joined are added: when many nodes leave one after another, the list may
 * not contain their successors yet.
 */
function chooseNextHomes(
  {identity, listCandidates}: LeaveOptions,
  service: string,
  newest: HomeList,
): readonly KeyHome[] {
  const others = newest.homes.filter(home => !isSameHome(home, identity));
  const added = listCandidates(service).filter(
    home => !isSameHome(home, identity) && !hasHome(newest, home),
  );
  return [...others, ...added].slice(0, MAX_HOMES);
}

function hasHome(list: HomeList, identity: KeyHome): boolean {
  return list.homes.some(home => isSameHome(home, identity));
}

/**
 * Copies the claims of a service to their next homes. Resolves with whether
 * all of them were accepted.
 */
async function copyClaims(
  {identity, claims, calls}: LeaveOptions,
  service: string,
  homes: readonly KeyHome[],
): Promise<boolean> {
  const claimsByHome = new Map<KeyHome, KeyClaim[]>();
  for (const claim of claims.listClaims()) {
    if (claim.service !== service) continue;
    const home = chooseHome(homes, service, claim.key)!;
    const known = claimsByHome.get(home);
    if (known) known.push(claim);
    else claimsByHome.set(home, [claim]);
  }
  const results = await Promise.all(
    [...claimsByHome].map(async ([to, homeClaims]) => {
      for (const batch of buildBatches(homeClaims.map(toClaimCopy))) {
        const handOver = {fromNodeId: identity.nodeId, to, claims: batch};
        const acceptedCount = await calls.handOverKeys(handOver).catch(() => 0);
        if (acceptedCount < batch.length) return false;
      }
      return true;
    }),
  );
  return results.every(Boolean);
}

function toClaimCopy(claim: KeyClaim): ClaimCopy {
  const {service, key, fingerprint, state, answer} = claim;
  return {
    service,
    key,
    fingerprint,
    // The outcome of a key that is still running is not known yet.
    state: state === ClaimState.FINISHED ? 'finished' : 'in-doubt',
    ...(answer ? {answer} : {}),
    ageMs: performance.now() - claim.claimedAt,
  };
}

function buildBatches(copies: readonly ClaimCopy[]): ClaimCopy[][] {
  const batches: ClaimCopy[][] = [];
  let batch: ClaimCopy[] = [];
  let bytes = 0;
  for (const copy of copies) {
    if (batch.length >= MAX_CLAIMS_PER_CALL || bytes >= TARGET_BYTES_PER_CALL) {
      batches.push(batch);
      batch = [];
      bytes = 0;
    }
    batch.push(copy);
    bytes += copy.answer?.body.held.length ?? 0;
  }
  if (batch.length > 0) batches.push(batch);
  return batches;
}
