/**
 * Maintenance of home lists: a change of the nodes leads to one new list, after
 * a delay. A node that may itself be cut off from the others removes none.
 */
import {describe, expect, it} from 'vitest';
import {HomeListMaintainer} from '../coordination/home-lists.js';
import type {AppendRecord} from '../coordination/record-publisher.js';
import {AppendOutcome} from '../coordination/record-publisher.js';
import type {HomeList} from '../state/replicated-state.js';
import type {WorkerRow} from '../state/worker-table.js';
import {WorkerTable} from '../state/worker-table.js';

const SERVICE = 'kona-desk';
const STEP_MS = 250;
const SETTLE_MS = 12_000;

function buildHome(index: number, incarnation = 1) {
  const nodeId = `desk-${index}`;
  return {nodeId, incarnation, peerAddress: `127.0.0.1:${7000 + index}`};
}

/** A maintainer on a fake clock, whose appended lists are always accepted. */
class MaintainerFixture {
  readonly lists: HomeList[] = [];
  readonly workers = new WorkerTable();
  private now = 1;
  private readonly maintainer: HomeListMaintainer;

  constructor() {
    this.maintainer = new HomeListMaintainer({
      identity: buildHome(0),
      state: {
        listHomeLists: () => this.lists,
        listServices: () => [SERVICE],
        isDataCentreOut: () => false,
      },
      workers: this.workers,
      appendRecord: this.append,
      createRecordId: () => `record-${this.lists.length}`,
      random: () => 0.5,
      count: () => {},
      readClock: () => this.now,
    });
  }

  addNode(index: number, incarnation = 1): void {
    const worker = {service: SERVICE, version: 'v1', slots: 6};
    const state: WorkerRow['state'] = 'ready';
    this.workers.update({
      ...buildHome(index, incarnation),
      dataCentre: 'arusha',
      workers: [{...worker, state}],
    });
  }

  async runFor(ms: number): Promise<void> {
    for (const end = this.now + ms; this.now < end; this.now += STEP_MS) {
      this.maintainer.checkAll();
      await new Promise(resolve => setImmediate(resolve));
    }
  }

  /** Advances the clock without checks, as if the process was stopped. */
  pauseFor(ms: number): void {
    this.now += ms;
  }

  get newestHomes(): string[] {
    const homes = this.lists.at(-1)?.homes ?? [];
    return homes.map(home => `${home.nodeId}#${home.incarnation}`).sort();
  }

  private readonly append: AppendRecord = async record => {
    if (record.kind !== 'home-list') throw new Error(record.kind);
    const {homes, handedOver, writtenAtMs, buildsOn} = record;
    this.lists.push({epoch: buildsOn + 1, homes, handedOver, writtenAtMs});
    return AppendOutcome.ACCEPTED;
  };
}

interface MaintainerCase {
  readonly name: string;
  readonly act: (fixture: MaintainerFixture) => Promise<void> | void;
  readonly homes: readonly string[];
  readonly lists: number;
}

const ALL = ['desk-0#1', 'desk-1#1', 'desk-2#1', 'desk-3#1'];

describe('the home list after a delay', () => {
  const cases: MaintainerCase[] = [
    {name: 'nothing happens', act: () => {}, homes: ALL, lists: 1},
    {
      name: 'a node is lost',
      act: fixture => fixture.workers.remove('desk-3'),
      homes: ['desk-0#1', 'desk-1#1', 'desk-2#1'],
      lists: 2,
    },
    {
      name: 'a node is absent for a moment',
      act: async fixture => {
        fixture.workers.remove('desk-3');
        await fixture.runFor(1000);
        fixture.addNode(3);
      },
      homes: ALL,
      lists: 1,
    },
    {
      name: 'a node was restarted',
      act: fixture => fixture.addNode(3, 2),
      homes: ['desk-0#1', 'desk-1#1', 'desk-2#1', 'desk-3#2'],
      lists: 2,
    },
    {
      name: 'two nodes joined at the same time',
      act: fixture => {
        fixture.addNode(4);
        fixture.addNode(5);
      },
      homes: [...ALL, 'desk-4#1', 'desk-5#1'],
      lists: 2,
    },
    {
      name: 'this node sees none of the others',
      act: fixture => {
        for (const index of [1, 2, 3]) fixture.workers.remove(`desk-${index}`);
      },
      homes: ALL,
      lists: 1,
    },
    {
      name: 'this node was frozen while another seemed lost',
      act: async fixture => {
        fixture.workers.remove('desk-3');
        await fixture.runFor(500);
        fixture.pauseFor(60_000);
        await fixture.runFor(500);
        fixture.addNode(3);
      },
      homes: ALL,
      lists: 1,
    },
  ];
  it.each(cases)('$name', async ({act, homes, lists}) => {
    const fixture = new MaintainerFixture();
    for (const index of [0, 1, 2, 3]) fixture.addNode(index);
    await fixture.runFor(5000);
    expect(fixture.newestHomes).toEqual(ALL);
    await act(fixture);
    await fixture.runFor(SETTLE_MS);
    expect(fixture.newestHomes).toEqual(homes);
    expect(fixture.lists.length).toBe(lists);
  });
});
