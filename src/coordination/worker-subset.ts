/**
 * Selects the subset of workers that one entry chooses among. In a large fleet
 * each entry sends few requests, so fresh load figures of every worker would
 * cost more than the requests. An entry therefore uses only some workers, most
 * of them in its own data centre, and gets load figures of these only. The
 * subset is chosen by rendezvous hashing of the ids, so that each worker is in
 * about the same number of subsets. Small fleets are not reduced.
 */
import {createHash} from 'node:crypto';
import type {WorkerRow} from '../state/worker-table.js';

/** Workers of a version in a subset; the best of ten is good enough. */
const SUBSET_SIZE = 10;
/** Workers in the local data centre; the others cover its outages. */
const NEAR_SUBSET_SIZE = 7;

/** Selects the subsets of one entry. */
export class WorkerSubset {
  private readonly affinities = new WeakMap<WorkerRow, number>();

  constructor(
    private readonly nodeId: string,
    private readonly dataCentre: string,
  ) {}

  /** Returns the entry's subset, or all workers when there are few. */
  select(rows: readonly WorkerRow[]): WorkerRow[] {
    if (rows.length <= SUBSET_SIZE) return [...rows];
    const sorted = rows
      .map(row => ({row, affinity: this.findAffinity(row)}))
      .sort((one, other) => one.affinity - other.affinity)
      .map(({row}) => row);
    const near = sorted.filter(row => row.dataCentre === this.dataCentre);
    const far = sorted.filter(row => row.dataCentre !== this.dataCentre);
    const wantedFar = SUBSET_SIZE - Math.min(near.length, NEAR_SUBSET_SIZE);
    const farCount = Math.min(far.length, wantedFar);
    return [
      ...near.slice(0, SUBSET_SIZE - farCount),
      ...far.slice(0, farCount),
    ];
  }

  private findAffinity(row: WorkerRow): number {
    let affinity = this.affinities.get(row);
    if (affinity === undefined) {
      affinity = createHash('sha1')
        .update(`${this.nodeId} ${row.target.nodeId}`)
        .digest()
        .readUInt32BE();
      this.affinities.set(row, affinity);
    }
    return affinity;
  }
}
