/**
 * Switches the log library on. It looks at its environment when it is loaded
 * and writes nothing without, so this module is imported before it.
 */
process.env['ROARR_LOG'] ??= 'true';
