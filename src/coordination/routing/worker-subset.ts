/**
 * Selects the subset of workers that one entry chooses among. In a large fleet
 * each entry sends few requests, so fresh load figures of every worker would
 * cost more than the requests. An entry therefore uses only some workers, most
 * of them in its own data centre, and gets load figures of these only. The
 * subset is chosen by rendezvous hashing of the ids, so that each worker is in
 * about the same number of subsets. Small fleets are not reduced.
 */
import {createHash} from 'node:crypto';
import type {WorkerRow, WorkerTable} from '../../state/worker-table.js';

/** Number of workers of a version up to which an entry uses all of them. */
const MAX_UNREDUCED = 10;
/**
 * Workers of a version in a subset. Each change of a worker's load costs a
 * datagram per entry that has it in its subset.
 */
const SUBSET_SIZE = 8;
/** Workers in the local data centre; the others cover its outages. */
const NEAR_SUBSET_SIZE = 6;
/**
 * The same where workers of the local data centre come first. As many as a
 * choice compares are then elsewhere: a share of the requests leaves, and two
 * could both be in one data centre that is lost, or both be full.
 */
const NEAR_SUBSET_SIZE_OWN_FIRST = 5;

/** How the subsets of all services are chosen. */
export interface SubsetRules {
  /** Whether workers of the local data centre come first for a service. */
  readonly isOwnPreferred: (service: string) => boolean;
  /**
   * Whether a data centre is out. Its workers get no requests, and where those
   * of the local one come first, the places are used for others.
   */
  readonly isDataCentreOut: (dataCentre: string) => boolean;
}

/** Selects the subsets of one entry. */
export class WorkerSubset {
  private readonly affinities = new WeakMap<WorkerRow, number>();

  constructor(
    private readonly nodeId: string,
    private readonly dataCentre: string,
  ) {}

  /** Returns the entry's subset, or all workers when there are few. */
  select(rows: readonly WorkerRow[], isOwnPreferred = false): WorkerRow[] {
    if (rows.length <= MAX_UNREDUCED) return [...rows];
    const nearSize = isOwnPreferred
      ? NEAR_SUBSET_SIZE_OWN_FIRST
      : NEAR_SUBSET_SIZE;
    const near = this.selectClosest(rows, nearSize, true);
    const wantedFar = SUBSET_SIZE - near.length;
    const far = this.selectClosest(rows, wantedFar, false);
    const wantedNear = SUBSET_SIZE - far.length;
    return wantedNear > near.length
      ? [...this.selectClosest(rows, wantedNear, true), ...far]
      : [...near, ...far];
  }

  /** Lists the subset of all services, chosen separately for each version. */
  list(workers: WorkerTable, rules?: SubsetRules): WorkerRow[] {
    return workers.listServices().flatMap(service => {
      const isOwnPreferred = rules?.isOwnPreferred(service) ?? false;
      const all = workers.listWorkers(service);
      const rows = isOwnPreferred
        ? all.filter(row => !rules?.isDataCentreOut(row.dataCentre))
        : all;
      const versions = new Set(rows.map(row => row.version));
      return [...versions].flatMap(version =>
        this.select(
          rows.filter(row => row.version === version),
          isOwnPreferred,
        ),
      );
    });
  }

  /**
   * Returns the rows with the lowest affinity values, in their order. The
   * selection is short, so inserting into it costs less than sorting all rows.
   */
  private selectClosest(
    rows: readonly WorkerRow[],
    count: number,
    isNear: boolean,
  ): WorkerRow[] {
    const selected: WorkerRow[] = [];
    const values: number[] = [];
    for (const row of rows) {
      if ((row.dataCentre === this.dataCentre) !== isNear) continue;
      const value = this.findAffinity(row);
      if (selected.length === count && value >= values[count - 1]!) continue;
      let index = selected.length;
      while (index > 0 && values[index - 1]! > value) index -= 1;
      selected.splice(index, 0, row);
      values.splice(index, 0, value);
      if (selected.length > count) {
        selected.pop();
        values.pop();
      }
    }
    return selected;
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
