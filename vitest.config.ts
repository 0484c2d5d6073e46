/**
 * Test runner settings. Tests that start real processes share the machine, so
 * at most four files run at a time. Timeouts are generous, because tests wait
 * for conditions and never for a fixed time.
 */
import {defineConfig} from 'vitest/config';

const TEST_LIMIT_MS = 120_000;

export default defineConfig({
  test: {
    include: ['src/test/**/*_test.ts', 'platform/test/**/*_test.ts'],
    // These have a run of their own, see vitest.alone.config.ts.
    exclude: ['platform/test/alone/**'],
    testTimeout: TEST_LIMIT_MS,
    hookTimeout: TEST_LIMIT_MS,
    pool: 'forks',
    poolOptions: {forks: {maxForks: 4, minForks: 1}},
  },
});
