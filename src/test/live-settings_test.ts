/**
 * Changes of a settings file, value by value: when each applies, and what of the
 * node is told. The operators' page has a row for each value.
 */
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterAll, describe, expect, it} from 'vitest';
import type {DirectorySettings} from '../protocol/directory-settings.js';
import {directorySettingsSchema} from '../protocol/directory-settings.js';
import type {AppliesWhen} from '../protocol/live-settings.js';
import {LiveSettings, SETTING_APPLICATION} from '../protocol/live-settings.js';
import {formatKeyPath} from '../protocol/settings.js';
import type {ReloadedParts} from '../settings-reload.js';
import {APPLY_BY_KEY, SettingsReload} from '../settings-reload.js';
import {SettingsWatch} from '../settings-watch.js';
import {listSettingRows} from './setting-rows.js';

const PAGE = 'docs/operators/changed-settings.md';
const ADDRESS = '10.0.0.1:1';

const STARTED = directorySettingsSchema.parse({
  node: {
    id: 'node-1',
    dataCentre: 'dc-1',
    service: 'desk',
    callerAddress: ADDRESS,
    peerAddress: ADDRESS,
    beaconAddress: ADDRESS,
    readinessAddress: ADDRESS,
    reportAddress: ADDRESS,
    metricsAddress: ADDRESS,
    upstreamAddress: ADDRESS,
  },
  store: {address: ADDRESS},
});

interface SettingRow {
  readonly key: string;
  readonly applies: AppliesWhen;
}

const ROWS: readonly SettingRow[] = Object.entries(SETTING_APPLICATION).flatMap(
  ([table, keys]) =>
    Object.entries(keys).map(([key, applies]) => ({
      key: `${table}.${key}`,
      applies: applies as AppliesWhen,
    })),
);

const OTHER_VALUES: Readonly<Record<string, unknown>> = {
  'scheduling.demandAware': true,
  'logging.level': 'debug',
};

/** Returns settings in which one value is another one. */
function buildChanged(path: string): DirectorySettings {
  const changed = structuredClone(STARTED);
  const [table, key] = path.split('.') as [string, string];
  const values = (changed as unknown as Record<string, object>)[table]!;
  const before = (values as Record<string, unknown>)[key];
  const other = typeof before === 'string' ? '10.0.0.1:2' : 7_000_000;
  return Object.assign(changed, {
    [table]: {...values, [key]: OTHER_VALUES[path] ?? other},
  });
}

function findValue(settings: DirectorySettings, path: string): unknown {
  const [table, key] = path.split('.') as [string, string];
  return (settings as unknown as Record<string, Record<string, unknown>>)[
    table
  ]?.[key];
}

/** Creates a reload whose parts record what they are told. */
function createReload(live: LiveSettings): {
  reload: SettingsReload;
  told: string[];
  lines: string[];
} {
  const told: string[] = [];
  const lines: string[] = [];
  const parts: ReloadedParts = {
    logger: {
      has: () => true,
      write: (level, text, context = {}) =>
        void lines.push(`${level} ${text} ${JSON.stringify(context)}`),
      setLevel: level => void told.push(`level ${level}`),
    },
    metrics: {
      recordWaitingSettings: count => void told.push(`waiting ${count}`),
    },
    records: {refresh: () => void told.push('records')},
    heldBudget: {refreshLimits: () => void told.push('held')},
    plannedStop: {setLimits: () => void told.push('stop')},
    adapter: {refreshStore: () => void told.push('store')},
  };
  return {reload: new SettingsReload(live, parts), told, lines};
}

// Guards against values that are read again and not applied, and not said to be.
describe('a changed setting', () => {
  it.each(ROWS)('$key applies: $applies', ({key, applies}) => {
    const live = new LiveSettings(STARTED);
    const {reload, told, lines} = createReload(live);
    const changed = buildChanged(key);
    reload.apply(() => changed);
    const needsRestart = applies === 'restart';
    const expected = findValue(needsRestart ? STARTED : changed, key);
    expect(findValue(live.current, key)).toBe(expected);
    expect(told.at(-1)).toBe(`waiting ${needsRestart ? 1 : 0}`);
    expect(told.length === 2).toBe(applies === 'at once');
    expect(lines).toHaveLength(2);
    const {inFile, inForce} = {
      inFile: findValue(changed, key) ?? 'none',
      inForce: findValue(STARTED, key) ?? 'none',
    };
    const values = JSON.stringify({from: inForce, to: inFile}).slice(1, -1);
    expect(lines[1]).toContain(needsRestart ? 'needs a restart' : 'changed');
    expect(lines[1]).toContain(values);
    reload.apply(() => STARTED);
    expect(live.current).toEqual(STARTED);
    expect(told.at(-1)).toBe('waiting 0');
  });

  it('has a row in the page and in the tables', () => {
    const rows = readFileSync(PAGE, 'utf8')
      .split('\n')
      .filter(line => line.startsWith('| `'))
      .map(line => line.split('|').map(cell => cell.trim().replaceAll('`', '')))
      .map(([, key, applies]) => ({key, applies}));
    const inCode = ROWS.map(({key, applies}) => ({
      key: formatKeyPath(key.split('.')),
      applies,
    }));
    expect(rows).toEqual(inCode);
    const inSchema = listSettingRows(directorySettingsSchema);
    expect(inCode.map(({key}) => key)).toEqual(inSchema.map(({key}) => key));
    const atOnce = ROWS.filter(({applies}) => applies === 'at once');
    expect(Object.keys(APPLY_BY_KEY)).toEqual(atOnce.map(({key}) => key));
  });

  it('in a file that can not be read changes nothing', () => {
    const live = new LiveSettings(STARTED);
    const {reload, told, lines} = createReload(live);
    reload.apply(() => {
      throw new Error('limits.grace: wrong type');
    });
    expect(live.current).toEqual(STARTED);
    expect(told).toEqual([]);
    expect(lines).toHaveLength(1);
    expect(lines[0]).toContain('limits.grace: wrong type');
  });
});

const folder = mkdtempSync(join(tmpdir(), 'sequoiaspool-'));
const FILE = join(folder, 'settings.toml');

afterAll(() => rmSync(folder, {recursive: true}));

/** What happens to a file between two checks, and whether it is then read. */
const WATCH_ROWS: ReadonlyArray<{
  readonly name: string;
  readonly steps: ReadonlyArray<
    readonly [act: 'write' | 'remove' | 'none' | 'signal', reads: number]
  >;
}> = [
  {
    name: 'not changed',
    steps: [
      ['none', 0],
      ['none', 0],
    ],
  },
  {
    name: 'changed',
    steps: [
      ['write', 0],
      ['none', 1],
      ['none', 0],
    ],
  },
  {
    name: 'still being written',
    steps: [
      ['write', 0],
      ['write', 0],
      ['none', 1],
    ],
  },
  {
    name: 'told of',
    steps: [
      ['signal', 1],
      ['none', 0],
      ['none', 0],
    ],
  },
  {
    name: 'told of while it is written',
    steps: [
      ['signal', 1],
      ['write', 0],
      ['none', 1],
      ['none', 0],
    ],
  },
  {
    name: 'missing, then there again',
    steps: [
      ['remove', 0],
      ['none', 1],
      ['none', 0],
      ['write', 0],
      ['none', 1],
    ],
  },
];

// Guards against changes that are not noticed without a signal, and against
// files that are read while they are being written.
describe('a watched file', () => {
  it.each(WATCH_ROWS)('$name', ({steps}) => {
    let text = 'a';
    writeFileSync(FILE, text);
    let reads = 0;
    const watch = new SettingsWatch(FILE, () => (reads += 1));
    const write = (): void => writeFileSync(FILE, (text += 'a'));
    const acts = {
      write,
      remove: () => rmSync(FILE),
      none: () => {},
      signal: () => {
        write();
        watch.checkNow();
      },
    };
    const seen = steps.map(([act]) => {
      const before = reads;
      acts[act]();
      watch.check();
      return reads - before;
    });
    expect(seen).toEqual(steps.map(([, count]) => count));
  });
});
