/**
 * Library entry point: schemas, verdicts and reasons for programs that talk to
 * sequoiaspool or check its settings.
 */
export * from './protocol/configuration.js';
export * from './protocol/headers.js';
export * from './protocol/reasons.js';
export * from './protocol/verdict.js';
