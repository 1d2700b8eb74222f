import tsdoc from "eslint-plugin-tsdoc";
import { readFileSync } from "node:fs";
import tseslint from "typescript-eslint";

const verbs = [...readFileSync(new URL("docs/VERBS.md", import.meta.url), "utf8").matchAll(/^- `(\w+)`/gm)]
    .map(match => match[1]);
const verbPattern = `^(${verbs.join("|")})([A-Z]|$)`;

const restrictedSyntax = [
    {
        selector: "Program:has(ExportNamedDeclaration ~ ExportNamedDeclaration)",
        message: "One export a file.",
    },
    { selector: "ThrowStatement > Literal", message: "Throw a typed failure, not a bare value." },
    { selector: "ThrowStatement > TemplateLiteral", message: "Throw a typed failure, not a bare value." },
    {
        selector: "ThrowStatement > NewExpression[callee.name='Error']",
        message: "Throw a failure with a type of its own.",
    },
    { selector: "TSInterfaceDeclaration[id.name=/^I[A-Z][a-z]/]", message: "No I prefix." },
    { selector: "TSUnionType > TSNullKeyword", message: "Use undefined, not null." },
];

const shared = {
    plugins: { tsdoc },
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
};

export default tseslint.config(
    { ignores: ["**/dist/**", "**/generated/**"] },
    {
        files: ["packages/*/src/**/*.ts", "platform/src/**/*.ts"],
        extends: [tseslint.configs.recommendedTypeChecked],
        ...shared,
        rules: {
            "tsdoc/syntax": "error",
            "curly": "error",
            "no-null": "off",
            "@typescript-eslint/require-await": "off",
            "@typescript-eslint/no-unused-vars": ["error", { ignoreRestSiblings: true }],
            "@typescript-eslint/only-throw-error": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "function", format: ["camelCase"], custom: { regex: verbPattern, match: true } },
                { selector: ["classMethod"], format: ["camelCase"], custom: { regex: verbPattern, match: true } },
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "enumMember", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
            ],
            "no-restricted-syntax": ["error", ...restrictedSyntax],
        },
    },
    {
        // Work that nobody awaits is started by `startContained`, which says what becomes of its faults.
        files: ["packages/{core,protocol,daemon}/src/**/*.ts", "platform/src/**/*.ts"],
        ignores: ["**/*.test.ts", "**/testing/**", "platform/src/leader-load/**"],
        rules: {
            "@typescript-eslint/no-floating-promises": ["error", { ignoreVoid: false }],
            "no-restricted-syntax": [
                "error",
                ...restrictedSyntax,
                { selector: "UnaryExpression[operator='void']", message: "Start it by startContained." },
            ],
        },
    },
    {
        // The packages do not depend on a platform: the platform adapter imports the packages, never the reverse.
        files: ["packages/*/src/**/*.ts"],
        rules: {
            "no-restricted-imports": [
                "error",
                {
                    patterns: [{
                        group: ["@daisylock/platform*", "**/platform/src/**"],
                        message: "Packages never import platform.",
                    }],
                },
            ],
        },
    },
);
