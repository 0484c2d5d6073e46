/**
 * Checks that the page on promises refers only to tests that exist.
 */
import {readFileSync} from 'node:fs';
import {describe, expect, it} from 'vitest';

const PAGE = readFileSync('docs/PROMISES.md', 'utf8');
const PROMISE_COUNT = 10;
const FAULT_COUNT = 18;

/** Reads the cells of the table whose heading row begins with a word. */
function readTable(heading: string): string[][] {
  const lines = PAGE.split('\n');
  const start = lines.findIndex(line => line.startsWith(`| ${heading} `));
  const rows = lines.slice(start + 2);
  const end = rows.findIndex(line => !line.startsWith('|'));
  return rows.slice(0, end).map(line =>
    line
      .split('|')
      .slice(1, -1)
      .map(cell => cell.trim()),
  );
}

const matrix = readTable('fault');
const tests = readTable('name');
const names = new Set(tests.map(([name]) => name));

describe('the matrix of promises and faults', () => {
  it('has all promises and faults', () => {
    expect(matrix).toHaveLength(FAULT_COUNT);
    expect(new Set(matrix.map(([fault]) => fault)).size).toBe(FAULT_COUNT);
    for (const row of matrix) expect(row).toHaveLength(PROMISE_COUNT + 1);
  });

  it.each(matrix)('names a test, a reason or a gap: %s', (...row) => {
    for (const cell of row.slice(1)) {
      const isReason =
        /^cannot [a-e]$/.test(cell) && PAGE.includes(`- ${cell.slice(-1)}: `);
      const isKnown = isReason || cell === 'not proved' || names.has(cell);
      expect(isKnown, cell).toBe(true);
    }
  });

  it.each(tests)('%s exists in %s', (name, file, title) => {
    const path = `src/test/${file!.replaceAll('`', '')}`;
    expect(readFileSync(path, 'utf8')).toContain(title);
    const isUsed = matrix.some(row => row.includes(name!));
    expect(isUsed, `${name} is named in the matrix`).toBe(true);
  });
});
