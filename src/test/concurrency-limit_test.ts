/**
 * Tests that the concurrency limit grows with windows of successful answers
 * and falls at once on bursts of failures and jumps of the service time.
 */
import {describe, expect, it} from 'vitest';
import {
  ConcurrencyLimit,
  LimitPhase,
  SlotOutcome,
} from '../coordination/admission/concurrency-limit.js';

const BOUNDS = {slots: 8, coldConcurrency: 1};

/** Records outcomes as of a worker under full load. */
class Driver {
  now = 0;
  readonly limit = new ConcurrencyLimit(BOUNDS);

  /** Records the outcomes; returns the number of admitted requests. */
  run(count: number, outcome: SlotOutcome, serviceTimeMs = 4): number {
    let admitted = 0;
    for (let index = 0; index < count; index++) {
      this.now += 1;
      if (!this.limit.admit(this.limit.value - 1, this.now)) continue;
      admitted += 1;
      const {generation} = this.limit;
      this.limit.record(
        {outcome, route: 'r', serviceTimeMs, generation},
        this.now,
      );
    }
    return admitted;
  }
}

interface LimitCase {
  readonly name: string;
  readonly steps: ReadonlyArray<[number, SlotOutcome, number?]>;
  readonly limit: number;
  readonly phase: LimitPhase;
}

const {SUCCESS, FAILURE, SHED, CONNECTION_LOST, UNREACHABLE, CANCELLED} =
  SlotOutcome;

describe('the limit follows request outcomes', () => {
  const cases: LimitCase[] = [
    {name: 'starts cold', steps: [], limit: 1, phase: 'cold'},
    {name: 'doubles', steps: [[8, SUCCESS]], limit: 2, phase: 'cold'},
    {name: 'reaches slots', steps: [[200, SUCCESS]], limit: 8, phase: 'ready'},
    {
      name: 'does not ramp on cancelled requests',
      steps: [[200, CANCELLED]],
      limit: 1,
      phase: 'cold',
    },
    {
      name: 'falls to cold on a burst of failures',
      steps: [
        [200, SUCCESS],
        [5, FAILURE],
      ],
      limit: 1,
      phase: 'cold',
    },
    {
      name: 'is kept on few failures',
      steps: [
        [200, SUCCESS],
        [3, FAILURE],
        [20, SUCCESS],
        [3, FAILURE],
      ],
      limit: 8,
      phase: 'ready',
    },
    {
      name: 'falls to cold when the service time jumps',
      steps: [
        [200, SUCCESS],
        [32, SUCCESS, 40],
      ],
      limit: 1,
      phase: 'cold',
    },
    {
      name: 'shrinks when the service time about doubles',
      steps: [
        [200, SUCCESS],
        [32, SUCCESS, 9],
      ],
      limit: 4,
      phase: 'ready',
    },
    {
      name: 'falls to cold when all requests are cancelled late',
      steps: [
        [200, SUCCESS],
        [32, CANCELLED, 100],
      ],
      limit: 1,
      phase: 'cold',
    },
    {
      name: 'shrinks on shedding',
      steps: [
        [200, SUCCESS],
        [2, SHED],
      ],
      limit: 4,
      phase: 'ready',
    },
    {
      name: 'falls to cold on consecutive lost connections',
      steps: [
        [200, SUCCESS],
        [2, CONNECTION_LOST],
      ],
      limit: 1,
      phase: 'cold',
    },
    {
      name: 'fails when connections are refused',
      steps: [
        [200, SUCCESS],
        [1, UNREACHABLE],
      ],
      limit: 1,
      phase: 'failing',
    },
    {
      name: 'fails when failures continue',
      steps: [
        [200, SUCCESS],
        [20, FAILURE],
      ],
      limit: 1,
      phase: 'failing',
    },
    {
      name: 'halves at the first window of a jump',
      steps: [
        [200, SUCCESS],
        [16, SUCCESS, 40],
      ],
      limit: 4,
      phase: 'ready',
    },
    {
      name: 'ramps up again when lower concurrency does not reduce latency',
      steps: [
        [200, SUCCESS],
        [32, SUCCESS, 40],
        [100, SUCCESS, 40],
      ],
      limit: 8,
      phase: 'ready',
    },
    {
      name: 'falls again when higher concurrency increases latency further',
      steps: [
        [200, SUCCESS],
        [32, SUCCESS, 40],
        [104, SUCCESS, 40],
        [32, SUCCESS, 400],
      ],
      limit: 1,
      phase: 'cold',
    },
    {
      name: 'adopts a lasting service time as its baseline',
      steps: [
        [200, SUCCESS],
        [5000, SUCCESS, 16],
      ],
      limit: 8,
      phase: 'ready',
    },
  ];
  it.each(cases)('$name', ({steps, limit, phase}) => {
    const driver = new Driver();
    for (const step of steps) driver.run(...step);
    expect(driver.limit.value).toBe(limit);
    expect(driver.limit.phase).toBe(phase);
  });
});

describe('a failing worker', () => {
  it('gets few trials and recovers after successful ones', () => {
    const driver = new Driver();
    driver.run(200, SUCCESS);
    driver.run(20, FAILURE);
    expect(driver.run(20_000, FAILURE)).toBeLessThanOrEqual(20);
    driver.run(2500, SUCCESS);
    expect(driver.limit.phase).toBe(LimitPhase.READY);
  });

  it.each([
    {
      name: 'becomes cold on a probe answer if it was unreachable',
      outcome: UNREACHABLE,
      is: 'cold',
    },
    {
      name: 'stays failing on a probe answer if requests failed',
      outcome: FAILURE,
      is: 'failing',
    },
  ])('$name', ({outcome, is}) => {
    const driver = new Driver();
    driver.run(20, outcome);
    driver.limit.recordProbeAnswer();
    expect(driver.limit.phase).toBe(is);
  });
});

describe('a cold worker', () => {
  it('is held at its cold limit while announced and ramps up afterwards', () => {
    const driver = new Driver();
    driver.limit.holdCold();
    driver.run(500, SUCCESS);
    expect(driver.limit.value).toBe(1);
    driver.limit.releaseCold();
    driver.run(200, SUCCESS);
    expect(driver.limit.value).toBe(8);
  });

  it('that fails at each growth is ramped up ever more rarely', () => {
    const driver = new Driver();
    let failures = 0;
    for (let index = 0; index < 4000; index++) {
      const isTooMuch = driver.limit.value > 1;
      failures +=
        driver.run(1, isTooMuch ? FAILURE : SUCCESS) && isTooMuch ? 1 : 0;
    }
    expect(failures).toBeLessThanOrEqual(50);
  });

  it('ignores outcomes of requests sent before a reset', () => {
    const driver = new Driver();
    driver.run(200, SUCCESS);
    const {generation} = driver.limit;
    driver.run(5, FAILURE);
    for (let index = 0; index < 20; index++) {
      driver.limit.record(
        {outcome: FAILURE, route: 'r', serviceTimeMs: 1, generation},
        driver.now,
      );
    }
    expect(driver.limit.phase).toBe(LimitPhase.COLD);
  });
});
