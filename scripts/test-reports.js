/** The test runs, with the report that each leaves. */
export const REPORTS = [
  {config: 'vitest.config.ts', report: 'dist/test-report-shared.json'},
  {config: 'vitest.alone.config.ts', report: 'dist/test-report-alone.json'},
];
