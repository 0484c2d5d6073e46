/**
 * Checks the operators' pages against the code: every setting with its default
 * and range, and every reason with its status.
 */
import {readFileSync} from 'node:fs';
import {describe, expect, it} from 'vitest';
import {directorySettingsSchema} from '../protocol/directory-settings.js';
import {REASON_DETAILS} from '../protocol/reasons.js';
import {nodeSettingsSchema} from '../protocol/settings.js';
import {listSettingRows} from './setting-rows.js';

/** Reads the cells of the table rows of a page, without backticks. */
function readRows(page: string): string[][] {
  return readFileSync(page, 'utf8')
    .split('\n')
    .filter(line => line.startsWith('| `'))
    .map(line =>
      line
        .split('|')
        .slice(1, -1)
        .map(cell => cell.trim().replaceAll('`', '')),
    );
}

const SETTINGS_PAGES = [
  {page: 'docs/operators/settings.md', schema: nodeSettingsSchema},
  {
    page: 'docs/operators/platform-settings.md',
    schema: directorySettingsSchema,
  },
];

describe.each(SETTINGS_PAGES)('the settings in $page', ({page, schema}) => {
  const rows = new Map(readRows(page).map(row => [row[0], row]));
  const settings = listSettingRows(schema);

  it.each(settings)('$key', ({key, defaultValue, allowed}) => {
    expect(rows.get(key)?.slice(2)).toEqual([defaultValue, allowed]);
  });

  it('names no setting that does not exist', () => {
    const known = settings.map(({key}) => key);
    expect([...rows.keys()].filter(key => !known.includes(key!))).toEqual([]);
  });
});

describe('the page on reasons', () => {
  const rows = readRows('docs/operators/reasons.md');

  it.each(Object.entries(REASON_DETAILS))('%s', (reason, {status}) => {
    const row = rows.find(([name]) => name === reason);
    expect(row?.[1]).toBe(String(status));
    expect(row).toHaveLength(4);
  });

  it('names no reason that does not exist', () => {
    const known = Object.keys(REASON_DETAILS);
    expect(rows.filter(([name]) => !known.includes(name!))).toEqual([]);
  });
});
