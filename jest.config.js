export default {
    extensionsToTreatAsEsm: [".ts"],
    testMatch: [
        "<rootDir>/packages/*/src/**/*.test.ts",
        "<rootDir>/platform/src/**/*.test.ts",
        "<rootDir>/tools/**/*.test.ts",
    ],
    testTimeout: 60000,
    // Some suites start a dozen processes each.
    maxWorkers: 2,
    transform: { "^.+\\.ts$": ["@swc/jest", { jsc: { parser: { syntax: "typescript" }, target: "es2022" } }] },
    moduleNameMapper: {
        "^@daisylock/([^/]+)/(.*)\\.js$": "<rootDir>/packages/$1/src/$2.ts",
        "^(\\.{1,2}/.*)\\.js$": "$1",
    },
};
