/** Version of this package, as in package.json. */
export const VERSION = '0.1.0';
