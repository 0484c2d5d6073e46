/**
 * Digests of a member table in buckets by node id. Two nodes compare digests
 * and send only the buckets that differ, so that the comparison costs the same
 * for any number of members as long as nothing was lost.
 */
import type {Member} from '../protocol/membership_pb.js';
import {MemberStatus} from '../protocol/membership_pb.js';

const BUCKET_COUNT = 32;
const HASH_OFFSET = 0x811c9dc5;
const HASH_PRIME = 0x01000193;

/** Bucket that a node's record belongs to. */
export function computeBucket(nodeId: string): number {
  return computeHash(nodeId) % BUCKET_COUNT;
}

/**
 * Digest of each bucket. Dead members do not count: each node forgets them at
 * a time of its own.
 */
export function computeBucketDigests(members: readonly Member[]): number[] {
  const digests = new Array<number>(BUCKET_COUNT).fill(0);
  for (const member of members) {
    if (member.status === MemberStatus.DEAD) continue;
    const {nodeId, incarnation, sequence, status} = member;
    const bucket = computeBucket(nodeId);
    const hash = computeHash(`${nodeId} ${incarnation} ${sequence} ${status}`);
    digests[bucket] = (digests[bucket]! ^ hash) >>> 0;
  }
  return digests;
}

/** Numbers of the buckets whose digests differ. */
export function compareBucketDigests(
  own: readonly number[],
  other: readonly number[],
): number[] {
  const differing: number[] = [];
  own.forEach((digest, bucket) => {
    if (digest !== other[bucket]) differing.push(bucket);
  });
  return differing;
}

/** FNV-1a, 32 bits. */
function computeHash(text: string): number {
  let hash = HASH_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), HASH_PRIME);
  }
  return hash >>> 0;
}
