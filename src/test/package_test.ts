/** Checks that the package's commands are executable as they are installed. */
import {execFileSync} from 'node:child_process';
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';

const COMMANDS = ['node', 'ctl', 'check', 'measure'];

let folder: string;

/** Packs the built package and unpacks it as an installation would. */
beforeAll(() => {
  folder = mkdtempSync(join(tmpdir(), 'sequoiaspool-'));
  const [packed] = JSON.parse(
    execFileSync(
      'npm',
      ['pack', '--json', '--ignore-scripts', '--pack-destination', folder],
      {encoding: 'utf8'},
    ),
  ) as Array<{filename: string}>;
  const archive = join(folder, packed!.filename);
  execFileSync('tar', ['-xzf', archive, '-C', folder]);
});

afterAll(() => rmSync(folder, {recursive: true, force: true}));

describe('an installed command', () => {
  it.each(COMMANDS)('sequoiaspool-%s --help', name => {
    const file = join(folder, 'package', 'dist', 'bin', `${name}.js`);
    const help = execFileSync(file, ['--help'], {encoding: 'utf8'});
    expect(help).toContain(`sequoiaspool-${name}`);
  });
});
