/**
 * The experiment tool: its load is reproducible from the seed, and it detects
 * each kind of fault in answers and runs.
 */
import {spawn} from 'node:child_process';
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import type {LoadReport} from '../measure/load-generator.js';
import {runLoad} from '../measure/load-generator.js';
import type {CallKind, CallStream} from '../measure/load-plan.js';
import {buildSchedule} from '../measure/load-plan.js';
import {computeLine} from '../measure/linear-fit.js';
import {checkRuns} from '../measure/run-check.js';
import {SCENARIOS} from '../measure/scenarios/scenario-table.js';
import {readWholeBody, startOnLoopback} from './stand-ins/json-http.js';
import {UpstreamStandIn} from './stand-ins/upstream.js';

function buildStream(kind: CallKind, address: string): CallStream {
  return {
    name: kind,
    caller: 'caller-0',
    kind,
    ratePerSecond: 100,
    uploadBytes: 200_000,
    targets: [{address, prefix: ''}],
  };
}

describe('the schedule', () => {
  const kinds: CallKind[] = ['lookup', 'booking', 'upload'];
  const buildPlan = (seed: string) => ({
    seed,
    durationMs: 5000,
    streams: kinds.map(kind => buildStream(kind, '127.0.0.1:1')),
  });

  it('is the same for the same seed', () => {
    const first = buildSchedule(buildPlan('7'));
    expect(buildSchedule(buildPlan('7'))).toEqual(first);
    expect(first.length).toBeGreaterThan(1000);
  });

  it('differs for another seed and is in order of time', () => {
    const times = buildSchedule(buildPlan('7')).map(call => call.atMs);
    expect(times).toEqual([...times].sort((a, b) => a - b));
    const others = buildSchedule(buildPlan('8')).map(call => call.atMs);
    expect(others).not.toEqual(times);
  });
});

describe('faults are detected', () => {
  let upstream: UpstreamStandIn;
  let server: Server;
  let address: string;
  let alter: (text: string, response: ServerResponse) => string;

  /** Forwards calls to an upstream without faults and alters its answers. */
  async function serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readWholeBody(message);
    const answer = await fetch(`http://${upstream.address}${message.url}`, {
      method: message.method ?? 'GET',
      headers: Object.fromEntries(
        ['x-request-id', 'idempotency-key'].flatMap(name => {
          const value = message.headers[name];
          return typeof value === 'string' ? [[name, value]] : [];
        }),
      ),
      ...(body.length > 0 ? {body} : {}),
    });
    response.end(alter(await answer.text(), response));
  }

  beforeEach(async () => {
    upstream = new UpstreamStandIn({service: 'kona-desk'});
    await upstream.start();
    server = createServer((message, response) => {
      void serve(message, response).catch(() => response.destroy());
    });
    address = await startOnLoopback(server);
  });

  afterEach(async () => {
    server.closeAllConnections();
    server.close();
    await upstream.stop();
  });

  interface FaultCase {
    readonly name: string;
    readonly kind: CallKind;
    readonly alter: (text: string, response: ServerResponse) => string;
    readonly expected: (report: LoadReport) => number;
  }
  const countWrong = (report: LoadReport): number => report.wrong;
  const countTruncated = (report: LoadReport): number => report.truncated;
  const cases: FaultCase[] = [
    {
      name: 'an answer with another request id is wrong',
      kind: 'lookup',
      alter: text => text.replace(/"requestId":"[^"]+"/, '"requestId":"other"'),
      expected: countWrong,
    },
    {
      name: 'an answer for another path is wrong',
      kind: 'lookup',
      alter: text => text.replace('/tickets/', '/stock/'),
      expected: countWrong,
    },
    {
      name: 'an answer for another key is wrong',
      kind: 'booking',
      alter: text => text.replace('"key":"', '"key":"x'),
      expected: countWrong,
    },
    {
      name: 'an upload with another digest is wrong',
      kind: 'upload',
      alter: text => text.replace(/"digest":"../, '"digest":"zz'),
      expected: countWrong,
    },
    {
      name: 'a refusal that names another request is wrong',
      kind: 'lookup',
      alter: (text, response) => {
        response.writeHead(503, {'sequoiaspool-reason': 'no-worker'});
        return '{"requestId":"other"}';
      },
      expected: countWrong,
    },
    {
      name: 'half an answer that ends without an error is truncated',
      kind: 'lookup',
      alter: text => text.slice(0, text.length / 2),
      expected: countTruncated,
    },
    {
      name: 'an upload that arrived in part is truncated',
      kind: 'upload',
      alter: text => text.replace('"length":200000', '"length":199999'),
      expected: countTruncated,
    },
    {
      name: 'an unaltered answer is right',
      kind: 'booking',
      alter: text => text,
      expected: report => report.right,
    },
    {
      name: 'a refusal is counted by its reason and is no fault',
      kind: 'booking',
      alter: (text, response) => {
        const {requestId} = JSON.parse(text) as {requestId: string};
        response.writeHead(503, {
          'sequoiaspool-reason': 'no-worker',
          'sequoiaspool-verdict': 'not-run',
        });
        return JSON.stringify({requestId});
      },
      expected: report => report.refusals['no-worker'] ?? 0,
    },
    {
      name: 'an answer cut on the connection is unanswered, not truncated',
      kind: 'lookup',
      alter: (text, response) => {
        response.writeHead(200, {'content-length': text.length + 1});
        setImmediate(() => response.destroy());
        return text;
      },
      expected: report =>
        Object.values(report.unanswered).reduce((sum, count) => sum + count, 0),
    },
  ];
  it.each(cases)('$name', async ({kind, alter: alterCase, expected}) => {
    alter = alterCase;
    const report = await runLoad({
      seed: '1',
      durationMs: 200,
      streams: [buildStream(kind, address)],
    });
    expect(report.requests).toBeGreaterThan(5);
    expect(expected(report)).toBe(report.requests);
  });

  it('a key that ran twice is doubled', async () => {
    const report = await runLoad({
      seed: '1',
      durationMs: 200,
      streams: [
        {...buildStream('booking', upstream.address), resendFraction: 1},
      ],
    });
    const {doubled} = checkRuns([upstream.stats], report.bookings);
    expect(doubled).toBe(report.requests / 2);
  });

  const bookings = {
    answered: new Set(['answered']),
    notRun: new Set(['refused']),
  };
  const runCases = [
    {
      name: 'runs that agree with the answers',
      runs: [{answered: 1}, {}],
      faults: {doubled: 0, untrueRefusals: 0, neverRan: 0},
    },
    {
      name: 'a key that ran at two upstreams',
      runs: [{answered: 1}, {answered: 1}],
      faults: {doubled: 1, untrueRefusals: 0, neverRan: 0},
    },
    {
      name: 'a key refused as not run that ran',
      runs: [{answered: 1, refused: 1}],
      faults: {doubled: 0, untrueRefusals: 1, neverRan: 0},
    },
    {
      name: 'a key answered that never ran',
      runs: [{}],
      faults: {doubled: 0, untrueRefusals: 0, neverRan: 1},
    },
  ];
  it.each(runCases)('$name', ({runs, faults}) => {
    const upstreams = runs.map(counts => ({
      runs: counts as Record<string, number>,
    }));
    expect(checkRuns(upstreams, bookings)).toEqual(faults);
  });
});

describe('a line through points', () => {
  it.each([
    {name: 'exact', ys: [5, 7, 9], intercept: 3, slope: 2, maxResidual: 0},
    {name: 'flat', ys: [4, 4, 4], intercept: 4, slope: 0, maxResidual: 0},
    {name: 'bent', ys: [0, 3, 0], intercept: 1, slope: 0, maxResidual: 2},
  ])('$name', ({ys, intercept, slope, maxResidual}) => {
    const line = computeLine(ys.map((y, index) => ({x: index + 1, y})));
    expect(line.intercept).toBeCloseTo(intercept);
    expect(line.slope).toBeCloseTo(slope);
    expect(line.maxResidual).toBeCloseTo(maxResidual);
  });
});

describe('the commands', () => {
  function run(args: readonly string[]): Promise<{
    code: number | null;
    lines: string[];
  }> {
    return new Promise(resolve => {
      const child = spawn(process.execPath, args);
      let output = '';
      child.stdout.on('data', (part: Buffer) => {
        output += part.toString();
      });
      child.once('close', code =>
        resolve({code, lines: output.trim().split('\n')}),
      );
    });
  }

  it('measure --list names every scenario', async () => {
    const {code, lines} = await run(['dist/bin/measure.js', '--list']);
    const names = lines.map(line => line.split(' ')[0]);
    expect(names).toEqual(Object.keys(SCENARIOS));
    expect(code).toBe(0);
  });

  it('measure runs a scenario, prints its report last and plots it', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'sequoiaspool-plot-'));
    const plot = join(folder, 'plot.svg');
    const args = ['--seconds', '1', '--seed', '5', '--plot', plot];
    const {code, lines} = await run([
      'dist/bin/measure.js',
      'added-latency',
      ...args,
    ]);
    const report = JSON.parse(lines.at(-1)!) as Record<string, unknown>;
    expect(report).toMatchObject({scenario: 'added-latency', seed: '5'});
    expect(readFileSync(plot, 'utf8')).toMatch(/^<svg[^]*<\/svg>$/);
    rmSync(folder, {recursive: true});
    expect(code).toBe(0);
  });

  it.each(['examples/kona.toml', 'examples/plovdiv.toml'])(
    'start with %s under a load finds no fault and prints its results last',
    async file => {
      const args = ['--seconds', '2', '--json', '--file', file];
      const {code, lines} = await run(['dist/dev/start.js', ...args]);
      const figures = JSON.parse(lines.at(-1)!) as Record<string, unknown>;
      expect(figures).toMatchObject({wrong: 0, doubled: 0, truncated: 0});
      expect(figures['right']).toBeGreaterThan(0);
      expect(code).toBe(0);
    },
  );
});
