/**
 * The workers that one entry chooses among. In a large fleet each entry sends
 * few requests, so that fresh word of every worker would cost more than the
 * requests. An entry keeps to some workers, most of them in its own data
 * centre, and hears of the load of these only. Which they are follows from
 * ids alone, different for each entry, so that all workers are chosen by
 * about as many entries. Small fleets are not cut down.
 */
import {createHash} from 'node:crypto';
import type {WorkerRow} from '../state/worker-table.js';

/** Workers of a version that an entry chooses among; the best of ten is good. */
const SUBSET_SIZE = 10;
/** Most of them in the entry's own data centre, the others for its bad days. */
const NEAR_SIZE = 7;

/** Chooses the subsets of one entry. */
export class WorkerSubset {
  private readonly affinities = new WeakMap<WorkerRow, number>();

  constructor(
    private readonly nodeId: string,
    private readonly dataCentre: string,
  ) {}

  /** Some of the workers, or all when there are few. */
  select(rows: readonly WorkerRow[]): WorkerRow[] {
    if (rows.length <= SUBSET_SIZE) return [...rows];
    const sorted = rows
      .map(row => ({row, affinity: this.findAffinity(row)}))
      .sort((one, other) => one.affinity - other.affinity)
      .map(({row}) => row);
    const near = sorted.filter(row => row.dataCentre === this.dataCentre);
    const far = sorted.filter(row => row.dataCentre !== this.dataCentre);
    const wantedFar = SUBSET_SIZE - Math.min(near.length, NEAR_SIZE);
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
