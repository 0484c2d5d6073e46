/** Checks that only the request that crashes workers is quarantined. */
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {CrashRecord} from '../protocol/crash-record.js';
import {CrashTable} from '../state/crash-table.js';

const RETENTION_MS = 600_000;

/** Builds a record; `!` marks suspects and `+` answered fingerprints. */
function buildRecord(crashId: string, ...names: string[]): CrashRecord {
  const strip = (name: string): string => name.replace(/[!+]/, '');
  const find = (mark: string): string[] =>
    names.filter(name => name.endsWith(mark)).map(strip);
  return {
    crashId,
    service: 'kona-desk',
    fingerprints: names.filter(name => !name.endsWith('+')).map(strip),
    answeredFingerprints: find('+'),
    suspects: find('!'),
  };
}

interface TableCase {
  readonly name: string;
  readonly records: CrashRecord[];
  readonly quarantined: string[];
  readonly suspects: string[];
}

const cases: TableCase[] = [
  {
    name: 'one crash makes suspects only',
    records: [buildRecord('1', 'x', 'a')],
    quarantined: [],
    suspects: ['a', 'x'],
  },
  {
    name: 'a suspect in a second crash is quarantined, other requests are not',
    records: [buildRecord('1', 'x', 'a'), buildRecord('2', 'x!', 'b')],
    quarantined: ['x'],
    suspects: ['a', 'b', 'x'],
  },
  {
    name: 'two simultaneous crashes quarantine nothing',
    records: [buildRecord('1', 'x', 'a'), buildRecord('2', 'x', 'a')],
    quarantined: [],
    suspects: ['a', 'x'],
  },
  {
    name: 'a third crash after two simultaneous ones quarantines one request',
    records: [
      buildRecord('1', 'x', 'a'),
      buildRecord('2', 'x', 'a'),
      buildRecord('3', 'x!', 'b'),
    ],
    quarantined: ['x'],
    suspects: ['a', 'b', 'x'],
  },
  {
    name: 'an answer between two crashes clears the first',
    records: [
      buildRecord('1', 'x', 'a'),
      buildRecord('1', 'a+'),
      buildRecord('2', 'y', 'a!'),
    ],
    quarantined: [],
    suspects: ['a', 'x', 'y'],
  },
  {
    name: 'a crash reported twice counts once',
    records: [buildRecord('1', 'x!'), buildRecord('1', 'x!')],
    quarantined: [],
    suspects: ['x'],
  },
];

describe('crash table', () => {
  it.each(cases)('$name', ({records, quarantined, suspects}) => {
    const table = new CrashTable(() => 0);
    for (const record of records) table.add(record);
    expect(table.listQuarantined()).toEqual(quarantined);
    const all = ['a', 'b', 'x', 'y'];
    expect(all.filter(name => table.isSuspect(name))).toEqual(suspects);
  });

  it('converges for records in any order, repeated or not', () => {
    const records = cases.flatMap(each => each.records);
    const order = fc.shuffledSubarray([...records, ...records], {
      minLength: records.length * 2,
    });
    const reference = new CrashTable(() => 0);
    for (const record of records) reference.add(record);
    const property = fc.property(order, shuffled => {
      const table = new CrashTable(() => 0);
      for (const record of shuffled) table.add(record);
      const expected = reference.listQuarantined().sort();
      expect(table.listQuarantined().sort()).toEqual(expected);
    });
    fc.assert(property, {seed: 4, numRuns: 300});
  });

  it('a quarantine expires', () => {
    let now = 0;
    const table = new CrashTable(() => now);
    table.add(buildRecord('1', 'x'));
    table.add(buildRecord('2', 'x!'));
    expect(table.isQuarantined('x')).toBe(true);
    now += RETENTION_MS + 1;
    expect(table.isQuarantined('x')).toBe(false);
    expect(table.isSuspect('x')).toBe(false);
  });

  it('an answer yields records that clear the suspect at other nodes', () => {
    const here = new CrashTable(() => 0);
    const there = new CrashTable(() => 0);
    for (const table of [here, there]) table.add(buildRecord('1', 'x', 'a'));
    for (const record of here.recordAnswer('a')) there.add(record);
    expect(there.isSuspect('a')).toBe(false);
    expect(there.isSuspect('x')).toBe(true);
  });
});
